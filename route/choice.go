package route

import (
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// level says which peers a choice considers.
type level uint8

const (
	nearest   level = 0 // with room, in the own zone
	otherPeer level = 1 // all but the one to avoid
	anyPeer   level = 2
)

// choice is a power-of-two choice among peers.
type choice struct {
	peers []*Peer
	zone  ident.Zone
	avoid *Peer
	now   clock.Time
	level level
}

func (c *choice) considers(p *Peer) bool {
	switch c.level {
	case nearest:
		return p != c.avoid && p.Zone == c.zone && p.hasRoom(c.now)
	case otherPeer:
		return p != c.avoid
	}
	return true
}

// pick returns the less loaded of two of the considered peers, or nil if there
// is none.
func (c *choice) pick(random uint64) *Peer {
	n := uint64(0)
	for _, p := range c.peers {
		if c.considers(p) {
			n++
		}
	}
	if n == 0 {
		return nil
	}
	first := c.nth(random % n)
	if n == 1 {
		return first
	}
	step := 1 + (random>>32)%(n-1)
	second := c.nth((random%n + step) % n)
	if second != nil && first != nil && second.load(c.now) < first.load(c.now) {
		return second
	}
	return first
}

// nth returns the considered peer with the given index. A peer may have filled
// up since they were counted; the last one is taken then.
func (c *choice) nth(index uint64) *Peer {
	var last *Peer
	for _, p := range c.peers {
		if !c.considers(p) {
			continue
		}
		if index == 0 {
			return p
		}
		index--
		last = p
	}
	return last
}

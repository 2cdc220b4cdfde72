package route

import (
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// level determines which peers are eligible in a choice.
type level uint8

const (
	sameZone  level = 0 // peers of the given zone with spare capacity, but not the one to avoid
	otherPeer level = 1 // all peers but the one to avoid
	anyPeer   level = 2
)

// choice is a power-of-two-choices selection among peers.
type choice struct {
	peers []*Peer
	zone  ident.Zone
	avoid *Peer
	now   clock.Time
	level level
}

func (c *choice) eligible(p *Peer) bool {
	switch c.level {
	case sameZone:
		return p != c.avoid && p.Zone == c.zone && p.hasRoom(c.now)
	case otherPeer:
		return p != c.avoid
	}
	return true
}

// pick returns the less loaded of two random eligible peers, or nil if there is
// none.
func (c *choice) pick(random uint64) *Peer {
	n := uint64(0)
	for _, p := range c.peers {
		if c.eligible(p) {
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

// nth returns the eligible peer with the given index. If fewer peers are
// eligible, because the load has changed since they were counted, it returns
// the last one, or nil if there is none.
func (c *choice) nth(index uint64) *Peer {
	var last *Peer
	for _, p := range c.peers {
		if !c.eligible(p) {
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

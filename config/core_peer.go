package config

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

func (c *Core) pollInterval() time.Duration {
	if c.readsLog {
		return c.params.PollInterval
	}
	return c.params.IdleInterval
}

func (c *Core) onPeers(ev Peers) {
	c.peers.nodes = ev.Nodes
	known := make(map[ident.Node]platformlog.Offset, len(ev.Nodes))
	for _, n := range ev.Nodes {
		if off, ok := c.peers.seen[n]; ok {
			known[n] = off
		}
	}
	c.peers.seen = known
}

func (c *Core) onPeerOffset(ev PeerOffset) {
	if ev.Offset > c.peers.seen[ev.Peer] {
		c.peers.seen[ev.Peer] = ev.Offset
	}
}

// PeerSeen returns the newest offset that a peer has named.
func (c *Core) PeerSeen() platformlog.Offset {
	var newest platformlog.Offset
	for _, off := range c.peers.seen {
		newest = max(newest, off)
	}
	return newest
}

// BehindSince returns the time since which a peer has been ahead, or
// clock.Never if none is.
func (c *Core) BehindSince() clock.Time { return c.peers.behind }

// decidePull asks a peer if the daemon lacks records that a peer has, or if
// the log does not give it a configuration.
func (c *Core) decidePull(now clock.Time, eff *Effects) {
	c.noteBehind(now)
	at := c.pullTime()
	if c.peers.inFlight || at == clock.Never || now.Before(at) {
		return
	}
	peer, ok := c.choosePeer()
	if !ok {
		return
	}
	c.peers.inFlight = true
	eff.Pull = &PullFromPeer{Peer: peer, Pull: Pull{From: c.next()}}
}

func (c *Core) noteBehind(now clock.Time) {
	switch {
	case c.PeerSeen() < c.next():
		c.peers.behind = clock.Never
	case c.peers.behind == clock.Never:
		c.peers.behind = now
	}
}

// pullTime is the time of the next pull, or clock.Never if none is needed.
func (c *Core) pullTime() clock.Time {
	incomplete := c.state == nil || c.replay != nil
	if incomplete && (c.reads.failing || c.fault != nil) && len(c.peers.nodes) > 0 {
		return max(c.peers.next, 1)
	}
	if c.peers.behind == clock.Never {
		return clock.Never
	}
	at := c.peers.behind
	if c.readsLog && !c.reads.failing {
		at = at.Add(c.params.PeerPatience)
	}
	return max(at, c.peers.next)
}

// choosePeer takes the peers in turn, those that are ahead before the others.
func (c *Core) choosePeer() (ident.Node, bool) {
	c.peers.turn++
	n := len(c.peers.nodes)
	for i := range n {
		node := c.peers.nodes[(c.peers.turn+i)%n]
		if c.peers.seen[node] >= c.next() {
			return node, true
		}
	}
	if c.peers.behind != clock.Never || n == 0 {
		return c.aheadPeer()
	}
	return c.peers.nodes[c.peers.turn%n], true
}

// aheadPeer returns a peer outside the list that has named a newer offset.
func (c *Core) aheadPeer() (ident.Node, bool) {
	var best ident.Node
	for node, off := range c.peers.seen {
		if off >= c.next() && (best.IsZero() || node.String() < best.String()) {
			best = node
		}
	}
	return best, !best.IsZero()
}

func (c *Core) onPullFailed(ev PullFailed, now clock.Time) {
	c.peers.inFlight = false
	c.peers.next = now.Add(c.params.RetryInterval)
	if !c.listed(ev.Peer) {
		delete(c.peers.seen, ev.Peer)
	}
}

func (c *Core) listed(node ident.Node) bool {
	for _, n := range c.peers.nodes {
		if n == node {
			return true
		}
	}
	return false
}

func (c *Core) onPulled(ev Pulled, now clock.Time, eff *Effects) {
	c.peers.inFlight = false
	c.peers.next = now.Add(c.params.RetryInterval)
	if !ev.Answer.Ready {
		return
	}
	before := c.next()
	if ev.Answer.State != nil {
		c.adopt(ev.Answer.State, eff)
	}
	c.applyPulled(ev.Answer.Records, eff)
	if c.state == nil {
		return
	}
	if c.next() > before {
		c.peers.next = now
		c.continueFrom(c.next())
	}
	if c.replay == nil && max(c.PeerSeen(), c.reads.end) < c.next() {
		c.ready = true
		c.fault = nil
	}
	c.publish(eff)
}

// adopt takes over the state of a peer if it is newer.
func (c *Core) adopt(snap *Snapshot, eff *Effects) {
	if snap.Covered < c.next() {
		return
	}
	c.state = stateOf(snap, Schema)
	c.recent = nil
}

func (c *Core) applyPulled(records []RawRecord, eff *Effects) {
	for _, r := range records {
		rec := platformlog.Record{Offset: r.Offset, Time: r.Time, Payload: r.Payload}
		if c.state == nil {
			if rec.Offset != 1 {
				return
			}
			c.state = NewState(Schema)
		}
		if rec.Offset == c.state.Next() {
			c.apply(rec, eff)
		}
	}
}

// continueFrom makes the next read of the log start behind what a peer gave.
func (c *Core) continueFrom(next platformlog.Offset) {
	c.replay = nil
	c.reads.from = next
}

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
		if off, ok := c.peers.offsets[n]; ok {
			known[n] = off
		}
	}
	c.peers.offsets = known
}

func (c *Core) onPeerOffset(ev PeerOffset) {
	if ev.Offset > c.peers.offsets[ev.Peer] {
		c.peers.offsets[ev.Peer] = ev.Offset
	}
}

// NewestPeerOffset returns the newest offset that a peer has reported.
func (c *Core) NewestPeerOffset() platformlog.Offset {
	var newest platformlog.Offset
	for _, off := range c.peers.offsets {
		newest = max(newest, off)
	}
	return newest
}

// BehindSince returns the time since which a peer has been ahead, or
// clock.Never if none is.
func (c *Core) BehindSince() clock.Time { return c.peers.behindSince }

// decidePull pulls from a peer if a peer has records that are missing here, or
// if the configuration can't be read from the log.
func (c *Core) decidePull(now clock.Time, eff *Effects) {
	c.updateBehind(now)
	at := c.pullTime()
	if c.peers.inFlight || at == clock.Never || now.Before(at) {
		return
	}
	peer, ok := c.choosePeer()
	if !ok {
		return
	}
	c.peers.inFlight = true
	eff.Pull = &PullFromPeer{Peer: peer, Pull: Pull{From: c.nextOffset()}}
}

func (c *Core) updateBehind(now clock.Time) {
	switch {
	case c.NewestPeerOffset() < c.nextOffset():
		c.peers.behindSince = clock.Never
	case c.peers.behindSince == clock.Never:
		c.peers.behindSince = now
	}
}

// pullTime returns the time of the next pull, or clock.Never if none is needed.
func (c *Core) pullTime() clock.Time {
	incomplete := c.state == nil || c.replay != nil
	if incomplete && (c.reads.lastFailed || c.fault != nil) && len(c.peers.nodes) > 0 {
		return max(c.peers.next, 1)
	}
	if c.peers.behindSince == clock.Never {
		return clock.Never
	}
	at := c.peers.behindSince
	if c.readsLog && !c.reads.lastFailed {
		at = at.Add(c.params.PeerLagTimeout)
	}
	return max(at, c.peers.next)
}

// choosePeer selects a peer in round-robin order and prefers peers that are
// ahead of this daemon.
func (c *Core) choosePeer() (ident.Node, bool) {
	c.peers.roundRobin++
	n := len(c.peers.nodes)
	for i := range n {
		node := c.peers.nodes[(c.peers.roundRobin+i)%n]
		if c.peers.offsets[node] >= c.nextOffset() {
			return node, true
		}
	}
	if c.peers.behindSince != clock.Never || n == 0 {
		return c.unlistedPeerAhead()
	}
	return c.peers.nodes[c.peers.roundRobin%n], true
}

// unlistedPeerAhead returns a peer that has reported a newer offset but need not
// be in the list of peers. If there are several, the one with the smallest name
// is returned.
func (c *Core) unlistedPeerAhead() (ident.Node, bool) {
	var best ident.Node
	for node, off := range c.peers.offsets {
		if off >= c.nextOffset() && (best.IsZero() || node.String() < best.String()) {
			best = node
		}
	}
	return best, !best.IsZero()
}

func (c *Core) onPullFailed(ev PullFailed, now clock.Time) {
	c.peers.inFlight = false
	c.peers.next = now.Add(c.params.RetryInterval)
	if !c.inPeerList(ev.Peer) {
		delete(c.peers.offsets, ev.Peer)
	}
}

func (c *Core) inPeerList(node ident.Node) bool {
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
	before := c.nextOffset()
	if ev.Answer.State != nil {
		c.installSnapshot(ev.Answer.State, eff)
	}
	c.applyPulled(ev.Answer.Records, eff)
	if c.state == nil {
		return
	}
	if c.nextOffset() > before {
		c.peers.next = now
		c.resumeReadsFrom(c.nextOffset())
	}
	if c.replay == nil && max(c.NewestPeerOffset(), c.reads.end) < c.nextOffset() {
		c.ready = true
		c.fault = nil
	}
	c.activate(eff)
}

// installSnapshot replaces the state by that of a peer if the peer's is newer.
func (c *Core) installSnapshot(snap *Snapshot, eff *Effects) {
	if snap.Covered < c.nextOffset() {
		return
	}
	c.state = stateFromSnapshot(snap, Schema)
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

// resumeReadsFrom makes the next read of the log start at next, after the
// records that were received from a peer.
func (c *Core) resumeReadsFrom(next platformlog.Offset) {
	c.replay = nil
	c.reads.from = next
}

package route

import (
	"sync/atomic"

	"github.com/parsleystack/parsleystack/dispatch"
	"github.com/parsleystack/parsleystack/ident"
)

// Peer is the load of one daemon as the local daemon sees it. It outlives the
// tables that refer to it.
type Peer struct {
	Node ident.Node
	Addr string
	Zone ident.Zone

	Retries dispatch.Budget // bounds retries sent to the peer

	sent     atomic.Int64  // requests sent from here and not answered
	reported atomic.Uint32 // in flight at the daemon, from its last answer
	capacity atomic.Uint32 // requests that it runs at once, from its last answer
}

// Begin counts a request sent to the peer.
func (p *Peer) Begin() { p.sent.Add(1) }

// End counts its end.
func (p *Peer) End() { p.sent.Add(-1) }

// Report stores the load that an answer of the peer carried.
func (p *Peer) Report(inFlight, capacity uint32) {
	p.reported.Store(inFlight)
	p.capacity.Store(capacity)
}

// load estimates the requests in flight at the peer.
func (p *Peer) load() int64 {
	return max(p.sent.Load(), int64(p.reported.Load()))
}

// hasRoom reports whether the peer takes another request without queueing.
func (p *Peer) hasRoom() bool {
	capacity := int64(p.capacity.Load())
	return capacity == 0 || p.load() < capacity
}

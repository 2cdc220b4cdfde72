package route

import (
	"sync/atomic"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/dispatch"
	"github.com/parsleystack/parsleystack/ident"
)

// reportLife is the time for which the load that an answer carried counts.
const reportLife = 100 * time.Millisecond

// Peer is the load of one daemon as the local daemon sees it. It outlives the
// tables that refer to it.
type Peer struct {
	Node ident.Node
	Addr string
	Zone ident.Zone

	unkeyed Entry // names the peer as owner of no range

	Retries dispatch.Budget // bounds retries sent to the peer

	sent       atomic.Int64  // requests sent from here and not answered
	others     atomic.Int64  // in flight at the daemon from elsewhere, by its last answer
	capacity   atomic.Uint32 // requests that it runs at once, by its last answer
	reportedAt atomic.Int64  // clock.Time of the last answer
}

// Begin counts a request sent to the peer.
func (p *Peer) Begin() { p.sent.Add(1) }

// End counts its end.
func (p *Peer) End() { p.sent.Add(-1) }

// Report stores the load that an answer of the peer carried.
func (p *Peer) Report(inFlight, capacity uint32, now clock.Time) {
	p.others.Store(max(int64(inFlight)-p.sent.Load(), 0))
	p.capacity.Store(capacity)
	p.reportedAt.Store(int64(now))
}

// load estimates the requests in flight at the peer. An old report does not
// count, so that a peer that was busy once is asked again.
func (p *Peer) load(now clock.Time) int64 {
	sent := p.sent.Load()
	if now.Sub(clock.Time(p.reportedAt.Load())) > reportLife {
		return sent
	}
	return sent + p.others.Load()
}

// hasRoom reports whether the peer takes another request without queueing.
func (p *Peer) hasRoom(now clock.Time) bool {
	capacity := int64(p.capacity.Load())
	return capacity == 0 || p.load(now) < capacity
}

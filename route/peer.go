package route

import (
	"sync/atomic"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/dispatch"
	"github.com/parsleystack/parsleystack/ident"
)

// loadReportTTL is the time for which the load reported in an answer is used.
const loadReportTTL = 100 * time.Millisecond

// Peer tracks the load of one daemon as seen from the local daemon. It is kept
// across successive tables. The methods are safe for concurrent use.
type Peer struct {
	Node ident.Node
	Addr string
	Zone ident.Zone

	unkeyedEntry Entry // the peer as destination of requests without a key; the range is unset

	Retries dispatch.Budget // limits retries sent to the peer

	sent          atomic.Int64  // requests sent by the local daemon and not yet answered
	reportedOther atomic.Int64  // requests in flight from other daemons, as of the last report
	capacity      atomic.Uint32 // maximum number of concurrent requests, as of the last report
	reportedAt    atomic.Int64  // clock.Time of the last report
}

// Begin counts a request sent to the peer.
func (p *Peer) Begin() { p.sent.Add(1) }

// End counts the completion of a request sent to the peer.
func (p *Peer) End() { p.sent.Add(-1) }

// Report stores the load reported in an answer of the peer: the requests in
// flight there and the number that it runs concurrently.
func (p *Peer) Report(inFlight, capacity uint32, now clock.Time) {
	p.reportedOther.Store(max(int64(inFlight)-p.sent.Load(), 0))
	p.capacity.Store(capacity)
	p.reportedAt.Store(int64(now))
}

// load estimates the number of requests in flight at the peer. A report older
// than loadReportTTL is ignored, so that a peer that was busy once is chosen
// again.
func (p *Peer) load(now clock.Time) int64 {
	sent := p.sent.Load()
	if now.Sub(clock.Time(p.reportedAt.Load())) > loadReportTTL {
		return sent
	}
	return sent + p.reportedOther.Load()
}

// hasRoom reports whether the peer can run another request without queueing it.
// A peer of unknown capacity is assumed to have room.
func (p *Peer) hasRoom(now clock.Time) bool {
	capacity := int64(p.capacity.Load())
	return capacity == 0 || p.load(now) < capacity
}

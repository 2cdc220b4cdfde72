package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

// messageOverhead is the overhead of a message on the wire, in bytes: frame,
// configuration offset, TLS record, IP and TCP headers, and half of a segment
// that only acknowledges, since a response also acknowledges its request.
const messageOverhead = 13 + 2 + 22 + 52 + 52/2

// idleTraffic returns the bytes per second that the process sends and receives,
// with the given overhead per message.
func idleTraffic(s *sim, node ident.Node, overhead int) float64 {
	const period = 60
	s.sent = nil
	s.run(period * time.Second)
	bytes := 0
	for _, m := range s.sent {
		if m.from == node || m.to == node {
			bytes += m.size + overhead
		}
	}
	return float64(bytes) / period
}

// defaultCell returns an idle cell with the default intervals of a daemon.
func defaultCell(t *testing.T, size int) *sim {
	t.Helper()
	s := newSim(t, 0)
	for i := 1; i <= size; i++ {
		cfg := testConfig(fmt.Sprintf("t%d", i), 1)
		cfg.HeartbeatInterval = 850 * time.Millisecond
		cfg.RetryInterval = 150 * time.Millisecond
		cfg.DriftPPM = 500
		s.start(cfg)
	}
	s.runUntil(10*time.Second, s.covered)
	s.run(5 * time.Second)
	return s
}

// The idle leader of a cell of maximum size must stay within 3 KiB per second.
func TestTrafficOfALeaderAtRest(t *testing.T) {
	const limit = 3 << 10
	for _, size := range []int{3, 4, 5, MaxMembers} {
		s := defaultCell(t, size)
		s.run(20 * time.Second)
		payload := idleTraffic(s, s.leaderProc().id, 0)
		wire := idleTraffic(s, s.leaderProc().id, messageOverhead)
		t.Logf("cell of %d: leader %.0f B/s payload, %.0f B/s on the wire", size, payload, wire)
		if wire > limit {
			t.Errorf("cell of %d: %.0f B/s, want at most %d", size, wire, limit)
		}
	}
}

func TestLoadSplitsAndMovesRangesWithoutLeaseExpiry(t *testing.T) {
	s := newSim(t, 0)
	for i := 1; i <= 4; i++ {
		cfg := testConfig(fmt.Sprintf("t%d", i), 1)
		cfg.Balance = BalanceConfig{Interval: time.Second, WeightImbalance: 1, MaxMovesPerMinute: 20, MaxRanges: 64}
		s.start(cfg)
	}
	s.run(5 * time.Second)
	hot := keyspace.Point(1 << 62)
	for range 40 {
		for _, p := range s.procs {
			s.step(p, Load{Ranges: hotLoads(p.held, hot)})
		}
		s.run(time.Second)
	}
	if n := s.expirations(); n > 0 || !s.covered() {
		t.Errorf("%d expired leases, covered %v\n%s", n, s.covered(), s.traceTail())
	}
	single := keyspace.Range{First: hot, Last: hot}
	if s.leaderProc().node.leader.table.entry(single) == nil {
		t.Errorf("the hot point has no range of its own\n%s", s.traceTail())
	}
	s.requireSingleHolder()
}

// hotLoads returns 10 requests per second for each range, and 100 more for the
// hot point.
func hotLoads(held []Holding, hot keyspace.Point) []RangeLoad {
	var loads []RangeLoad
	for _, h := range held {
		l := RangeLoad{Range: h.Grant.Range, Rate: 10}
		if h.Grant.Range.Contains(hot) {
			l.Rate, l.HotPoint, l.HotRate = 110, hot, 100
		}
		loads = append(loads, l)
	}
	return loads
}

// BenchmarkLeaderAtRest measures the processing of a renewal by the leader of a
// cell of maximum size.
func BenchmarkLeaderAtRest(b *testing.B) {
	s := newSim(&testing.T{}, MaxMembers)
	s.run(30 * time.Second)
	leader := s.leaderProc()
	member := s.plainProc()
	f := &member.node.follower
	now := s.now
	renew := &Renew{Term: f.term, Version: f.version}
	for b.Loop() {
		renew.Request++
		renew.SeenLease = renew.Request
		now = now.Add(time.Millisecond)
		leader.node.Step(Received{From: member.id, Message: Message{Renew: renew}}, now)
	}
}

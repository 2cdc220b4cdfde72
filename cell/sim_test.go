package cell

import (
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog"
)

const (
	simNetDelay  = time.Millisecond
	simLogDelay  = 3 * time.Millisecond
	simWorkDelay = 20 * time.Millisecond
	simLongPoll  = 500 * time.Millisecond
)

// sim runs nodes on one virtual clock with a fake log and network. After every
// change of holdings it checks that no point has two unexpired holders.
type sim struct {
	t      *testing.T
	now    clock.Time
	seq    int
	events simQueue
	procs  []*simProc

	records   []platformlog.Record
	truncated int // number of records removed from the start of the stream
	logDown   bool
	// losesAppendResponses makes appends succeed with an unknown outcome.
	losesAppendResponses bool
	// dropsAppends makes appends fail with an unknown outcome.
	dropsAppends bool
	cut          func(from, to ident.Instance) bool
	logCut       func(node ident.Instance) bool
	appendDelay  func() time.Duration
	copies       func() int
	delay        func(to ident.Instance, m Message) time.Duration
	drop         func(from, to ident.Instance, m Message) bool

	trace    *strings.Builder
	acked    []Grant
	sent     []simSent
	conflict string
}

func testConfig(instance string, incarnation uint64) Config {
	zone := ident.Zone("z" + instance[len(instance)-1:])
	return Config{
		Service:           "reports",
		Self:              Member{Node: ident.Node{Instance: ident.Instance(instance), Incarnation: ident.Incarnation(incarnation)}, Zone: zone, Addr: "10.0.0.1:" + instance, Capacity: 20, Version: Version},
		Span:              keyspace.Full(),
		InitialRanges:     8,
		LeaseDuration:     2 * time.Second,
		HeartbeatInterval: 660 * time.Millisecond,
		RetryInterval:     100 * time.Millisecond,
		DriftPPM:          200,
		MaxLogStaleness:   60 * time.Second,
		DrainLimit:        2 * time.Second,
		Seed:              1,
	}
}

func newSim(t *testing.T, n int) *sim { return newFaultySim(t, n, FaultNone) }

// newFaultySim returns a cell of n processes with the fault enabled.
func newFaultySim(t *testing.T, n int, fault Fault) *sim {
	s := &sim{t: t, now: clock.Time(time.Hour), trace: &strings.Builder{}}
	for i := 1; i <= n; i++ {
		cfg := testConfig(fmt.Sprintf("t%d", i), 1)
		cfg.Fault = fault
		s.start(cfg)
	}
	return s
}

func (s *sim) start(cfg Config) *simProc {
	node, err := NewNode(cfg)
	if err != nil {
		s.t.Fatal(err)
	}
	p := &simProc{node: node, id: cfg.Self.Node, alive: true}
	s.procs = append(s.procs, p)
	s.after(0, func() { s.step(p, Tick{}); s.poll(p) })
	return p
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now.Add(d), seq: s.seq, run: run})
}

// run advances the virtual clock by d and runs the events that are due.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for s.events.Len() > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = max(s.now, e.at)
		e.run()
	}
	s.now = end
}

// runUntil runs until done returns true, for at most limit, and returns the
// elapsed time.
func (s *sim) runUntil(limit time.Duration, done func() bool) time.Duration {
	start := s.now
	for s.now.Sub(start) < limit && !done() {
		s.run(5 * time.Millisecond)
	}
	if !done() {
		s.t.Helper()
		s.t.Fatalf("not done within %v\n%s", limit, s.traceTail())
	}
	return s.now.Sub(start)
}

func (s *sim) traceTail() string {
	lines := strings.Split(s.trace.String(), "\n")
	if len(lines) > 60 {
		lines = lines[len(lines)-60:]
	}
	return strings.Join(lines, "\n")
}

func (s *sim) proc(instance string) *simProc {
	for i := len(s.procs) - 1; i >= 0; i-- {
		if s.procs[i].id.Instance == ident.Instance(instance) {
			return s.procs[i]
		}
	}
	return nil
}

// leaderProc returns the running process that leads, or nil.
func (s *sim) leaderProc() *simProc {
	for _, p := range s.procs {
		if p.alive && p.node.leader != nil {
			return p
		}
	}
	return nil
}

func (s *sim) deputyProc() *simProc {
	return s.proc(string(s.leaderProc().node.ledger.Deputy().Instance))
}

// plainProc returns a running process that is neither leader nor deputy.
func (s *sim) plainProc() *simProc {
	for _, p := range s.procs {
		if p.alive && p.node.leader == nil && p != s.deputyProc() {
			return p
		}
	}
	return nil
}

// covered reports whether running processes hold every range of the span.
func (s *sim) covered() bool {
	var grants []Grant
	for _, p := range s.procs {
		if !p.alive || p.frozen {
			continue
		}
		for _, h := range p.held {
			if h.Expires > p.local(s.now) {
				grants = append(grants, h.Grant)
			}
		}
	}
	slices.SortFunc(grants, compareGrants)
	return covers(grants, keyspace.Full())
}

func (s *sim) step(p *simProc, ev Event) {
	if !p.alive || p.left {
		return
	}
	if p.frozen {
		p.pendingEvents = append(p.pendingEvents, ev)
		return
	}
	if len(p.held) > 0 && p.held[0].Expires <= p.local(s.now) {
		p.expirations++
		p.held = nil
	}
	now := p.local(s.now)
	fx := p.node.Step(ev, now)
	if fx.HoldingsChanged {
		p.held = fx.Holdings
		s.checkSingleHolder()
	}
	s.record(p, fx)
	s.carryOut(p, fx)
	if wake := s.now.Add(fx.Wake.Sub(now)); p.nextTick <= s.now || wake < p.nextTick {
		p.nextTick = wake
		s.after(max(wake.Sub(s.now), 0), func() {
			if p.nextTick <= s.now {
				s.step(p, Tick{})
			}
		})
	}
}

func (s *sim) carryOut(p *simProc, fx Effects) {
	s.acked = append(s.acked, fx.Committed...)
	p.left = fx.Left
	if fx.Err != nil {
		p.err = fx.Err
	}
	for _, h := range fx.Release {
		s.after(simWorkDelay, func() { s.step(p, Released{Range: h.Grant.Range, Token: h.Grant.Token}) })
	}
	for _, g := range fx.Prepare {
		s.after(simWorkDelay, func() { s.step(p, Prepared{Range: g.Range, Token: g.Token}) })
	}
	for _, e := range fx.Messages {
		s.deliver(p, e)
	}
	for _, a := range fx.Appends {
		s.append(p, a)
	}
	if fx.ReadLog {
		s.after(simLogDelay, func() { s.read(p) })
	}
}

func (s *sim) deliver(p *simProc, e Envelope) {
	if s.cut != nil && s.cut(p.id.Instance, e.To.Instance) || s.drop != nil && s.drop(p.id.Instance, e.To.Instance, e.Message) {
		return
	}
	m, err := DecodeMessage(e.Message.AppendTo(nil))
	if err != nil {
		s.t.Fatal(err)
	}
	s.sent = append(s.sent, simSent{from: p.id, to: e.To, size: len(e.Message.AppendTo(nil))})
	copies := 1
	if s.copies != nil {
		copies = s.copies()
	}
	for range copies {
		delay := simNetDelay
		if s.delay != nil {
			delay += s.delay(e.To.Instance, m)
		}
		s.after(delay, func() {
			if to := s.proc(string(e.To.Instance)); to != nil {
				s.step(to, Received{From: p.id, Message: m})
			}
		})
	}
}

func (s *sim) kill(p *simProc) {
	p.alive = false
	fmt.Fprintf(s.trace, "%s %s is lost\n", s.stamp(), p.id)
}

// unfreeze resumes a frozen process and passes it the events received meanwhile.
func (s *sim) unfreeze(p *simProc) {
	p.frozen = false
	waiting := p.pendingEvents
	p.pendingEvents = nil
	for _, ev := range waiting {
		s.step(p, ev)
	}
	s.step(p, Tick{})
}

func (s *sim) stamp() string {
	return fmt.Sprintf("%9.3f", time.Duration(s.now-clock.Time(time.Hour)).Seconds())
}

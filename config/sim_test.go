package config

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// sim runs the cores of several daemons and several publishers against one
// stream whose records expire, on one clock, without goroutines.
type sim struct {
	rng     *rand.Rand
	now     clock.Time
	records []platformlog.Record // all records ever appended
	expired int                  // number of records that are no longer kept
	late    [][]byte             // appends that have not landed yet
	down    bool
	daemons []*simDaemon
	answers []simAnswer        // answers under way
	end     platformlog.Offset // newest record when the faults ended
	lost    bool               // the state was known to no one when the faults ended
	nonce   uint64
	ages    time.Duration // retention
	stats   simStats
}

type simStats struct{ restarts, snapshots, pulls, gaps, lost int }

type simDaemon struct {
	node   ident.Node
	core   *Core
	wake   clock.Time
	shown  *InForce
	fault  error
	cutOff bool // the daemon does not reach the log
}

// simAnswer is an answer that a daemon gets later. It is lost if the daemon is
// restarted in between.
type simAnswer struct {
	at     clock.Time
	daemon *simDaemon
	core   *Core
	event  Event
}

var simServices = []ident.Service{"bookings", "payments", "reports"}

const (
	simStep      = 50 * time.Millisecond
	simRetention = 20 * time.Second
)

func newSim(seed uint64, daemons int) *sim {
	s := &sim{
		rng:  rand.New(rand.NewPCG(seed, 1)),
		now:  clock.Time(time.Hour),
		ages: simRetention,
	}
	for i := range daemons {
		d := &simDaemon{node: ident.Node{Instance: ident.Instance(fmt.Sprint("d", i))}}
		s.daemons = append(s.daemons, d)
		s.restart(d)
	}
	return s
}

// restart replaces the process of a daemon. The first daemon always reads the
// log, as the leader of a cell does.
func (s *sim) restart(d *simDaemon) {
	s.stats.restarts++
	d.node.Incarnation++
	p := DefaultParameters(simRetention / 4)
	p.SnapshotJitter = simRetention / 8
	p.ReadLimit = 1 + s.rng.IntN(8)
	p.Seed = s.rng.Uint64()
	d.core = NewCore(p)
	d.wake = s.now
	d.shown = nil
	var nodes []ident.Node
	for _, other := range s.daemons {
		if other != d {
			nodes = append(nodes, other.node)
		}
	}
	s.step(d, Peers{Nodes: nodes})
	s.step(d, ReadsLog{On: d == s.daemons[0] || s.rng.IntN(2) == 0})
}

// step runs one event and carries out what comes of it.
func (s *sim) step(d *simDaemon, ev Event) {
	eff := d.core.Step(ev, s.now)
	d.wake = eff.Wake
	d.fault = eff.Fault
	if eff.InForce != nil {
		s.show(d, eff.InForce)
	}
	if eff.AppendSnapshot != nil {
		s.stats.snapshots++
		s.answer(d, SnapshotDone{Err: s.append(eff.AppendSnapshot)})
	}
	if eff.Read != nil {
		s.answer(d, s.read(d, eff.Read))
	}
	if eff.Pull != nil {
		s.answer(d, s.pull(eff.Pull))
	}
}

// answer lets the daemon have an answer after a delay, now and then a long one.
func (s *sim) answer(d *simDaemon, ev Event) {
	delay := time.Duration(s.rng.Int64N(int64(simStep)))
	if s.rng.IntN(20) == 0 {
		delay *= 100
	}
	s.answers = append(s.answers, simAnswer{at: s.now.Add(delay), daemon: d, core: d.core, event: ev})
}

func (s *sim) deliver() {
	under := s.answers
	s.answers = nil
	for _, a := range under {
		switch {
		case s.now.Before(a.at):
			s.answers = append(s.answers, a)
		case a.daemon.core == a.core:
			s.step(a.daemon, a.event)
		}
	}
}

// show checks the promises on a configuration that is put into force.
func (s *sim) show(d *simDaemon, f *InForce) {
	if d.shown != nil && f.Offset < d.shown.Offset {
		panic(fmt.Sprintf("%v reverts from %d to %d", d.node, d.shown.Offset, f.Offset))
	}
	want := s.fold(f.Offset)
	for _, svc := range simServices {
		var got platformlog.Offset
		if e := f.Entry(svc); e != nil {
			got = e.Version
		}
		if got != want.Version(svc) {
			panic(fmt.Sprintf("%v has version %d of %s at offset %d, the stream says %d", d.node, got, svc, f.Offset, want.Version(svc)))
		}
	}
	d.shown = f
}

// fold is the state after the record at offset, from all records.
func (s *sim) fold(offset platformlog.Offset) *State {
	st := NewState(Schema)
	for _, rec := range s.records[:offset] {
		st.Apply(rec.Offset, rec.Time, rec.Payload)
	}
	return st
}

func (s *sim) land(payload []byte) {
	s.records = append(s.records, platformlog.Record{
		Offset:  platformlog.Offset(len(s.records) + 1),
		Time:    int64(s.now),
		Payload: payload,
	})
}

// append may fail, take effect without an answer, or take effect later.
func (s *sim) append(payload []byte) error {
	if s.down {
		return &platformlog.UnavailableError{}
	}
	switch s.rng.IntN(5) {
	case 0:
		s.late = append(s.late, payload)
		return &platformlog.UnknownOutcomeError{}
	case 1:
		s.land(payload)
		return &platformlog.UnknownOutcomeError{}
	}
	s.land(payload)
	return nil
}

func (s *sim) expire() {
	for s.expired < len(s.records) && time.Duration(int64(s.now)-s.records[s.expired].Time) > s.ages {
		s.expired++
	}
}

func (s *sim) read(d *simDaemon, r *Read) Event {
	if s.down || d.cutOff {
		return LogFailed{}
	}
	earliest := platformlog.Offset(s.expired + 1)
	if r.From < earliest {
		s.stats.gaps++
		return LogGap{From: r.From, Earliest: earliest}
	}
	b := platformlog.Batch{Earliest: earliest, Next: platformlog.Offset(len(s.records) + 1)}
	for i := int(r.From) - 1; i < len(s.records) && len(b.Records) < r.Limit; i++ {
		b.Records = append(b.Records, s.records[i])
	}
	return LogRead{From: r.From, Batch: b, Wall: int64(s.now)}
}

func (s *sim) pull(p *PullFromPeer) Event {
	s.stats.pulls++
	for _, d := range s.daemons {
		if d.node.Instance == p.Peer.Instance && d.shown != nil && s.rng.IntN(4) > 0 {
			return Pulled{Peer: p.Peer, Answer: d.shown.Answer(p.Pull)}
		}
	}
	return PullFailed{Peer: p.Peer}
}

func (s *sim) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.expire()
	s.deliver()
	for _, d := range s.daemons {
		if d.wake != clock.Never && !s.now.Before(d.wake) {
			s.step(d, Tick{})
		}
	}
}

// known reports whether the state can still be found: by a daemon that has all
// the records that have expired, or by a snapshot that covers them.
func (s *sim) known() bool {
	if s.expired == 0 {
		return true
	}
	for _, d := range s.daemons {
		if d.shown != nil && int(d.shown.Offset) >= s.expired {
			return true
		}
	}
	for _, rec := range s.records[s.expired:] {
		c, err := DecodeChange(rec.Payload)
		if err == nil && c.Kind == KindSnapshot && int(c.ExpectedVersion) >= s.expired {
			return true
		}
	}
	return false
}

// settle ends all faults and lets time pass.
func (s *sim) settle() {
	s.down = false
	s.end = platformlog.Offset(len(s.records))
	s.lost = !s.known()
	for _, d := range s.daemons {
		d.cutOff = false
	}
	for range 400 {
		s.advance(simStep)
		for _, d := range s.daemons {
			s.gossip(d)
		}
	}
}

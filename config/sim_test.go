package config

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// sim is a deterministic, single-threaded simulation of several daemons and
// publishers that share a clock and one stream whose records expire.
type sim struct {
	rng       *rand.Rand
	now       clock.Time
	records   []platformlog.Record // all records ever appended
	expired   int                  // number of records that are no longer kept
	delayed   [][]byte             // payloads of appends that have not taken effect yet
	logDown   bool
	daemons   []*simDaemon
	pending   []pendingEvent     // responses in transit
	end       platformlog.Offset // offset of the newest record when the faults stopped
	stateLost bool               // no daemon and no snapshot held the whole state when the faults stopped
	nonce     uint64
	retention time.Duration
	stats     simStats
}

type simStats struct{ restarts, snapshots, pulls, truncations, lost int }

type simDaemon struct {
	node           ident.Node
	core           *Core
	wake           clock.Time
	inForce        *InForce
	fault          error
	logUnreachable bool // the daemon can't reach the log
}

// pendingEvent is a response that a daemon receives later. It is dropped if the
// daemon restarts first.
type pendingEvent struct {
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
		rng:       rand.New(rand.NewPCG(seed, 1)),
		now:       clock.Time(time.Hour),
		retention: simRetention,
	}
	for i := range daemons {
		d := &simDaemon{node: ident.Node{Instance: ident.Instance(fmt.Sprint("d", i))}}
		s.daemons = append(s.daemons, d)
		s.restart(d)
	}
	return s
}

// restart replaces a daemon by a new incarnation. The first daemon always reads
// the log, as the leader of a cell does; the others do so at random.
func (s *sim) restart(d *simDaemon) {
	s.stats.restarts++
	d.node.Incarnation++
	p := DefaultParameters(simRetention / 4)
	p.SnapshotJitter = simRetention / 8
	p.ReadLimit = 1 + s.rng.IntN(8)
	p.Seed = s.rng.Uint64()
	d.core = NewCore(p)
	d.wake = s.now
	d.inForce = nil
	var nodes []ident.Node
	for _, other := range s.daemons {
		if other != d {
			nodes = append(nodes, other.node)
		}
	}
	s.step(d, Peers{Nodes: nodes})
	s.step(d, ReadsLog{On: d == s.daemons[0] || s.rng.IntN(2) == 0})
}

// step passes an event to the core of a daemon and applies the effects.
func (s *sim) step(d *simDaemon, ev Event) {
	eff := d.core.Step(ev, s.now)
	d.wake = eff.Wake
	d.fault = eff.Fault
	if eff.InForce != nil {
		s.checkInForce(d, eff.InForce)
	}
	if eff.AppendSnapshot != nil {
		s.stats.snapshots++
		s.schedule(d, SnapshotDone{Err: s.append(eff.AppendSnapshot)})
	}
	if eff.Read != nil {
		s.schedule(d, s.read(d, eff.Read))
	}
	if eff.Pull != nil {
		s.schedule(d, s.pull(eff.Pull))
	}
}

// schedule delivers an event to the daemon after a random delay, which is 100 times
// longer for one event in 20.
func (s *sim) schedule(d *simDaemon, ev Event) {
	delay := time.Duration(s.rng.Int64N(int64(simStep)))
	if s.rng.IntN(20) == 0 {
		delay *= 100
	}
	s.pending = append(s.pending, pendingEvent{at: s.now.Add(delay), daemon: d, core: d.core, event: ev})
}

func (s *sim) deliver() {
	scheduled := s.pending
	s.pending = nil
	for _, p := range scheduled {
		switch {
		case s.now.Before(p.at):
			s.pending = append(s.pending, p)
		case p.daemon.core == p.core:
			s.step(p.daemon, p.event)
		}
	}
}

// checkInForce checks the invariants of a configuration that is put in force: its
// offset never decreases, and its versions are those of the stream at that offset.
func (s *sim) checkInForce(d *simDaemon, f *InForce) {
	if d.inForce != nil && f.Offset < d.inForce.Offset {
		panic(fmt.Sprintf("%v reverts from %d to %d", d.node, d.inForce.Offset, f.Offset))
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
	d.inForce = f
}

// fold returns the state after the record at offset, computed from all records.
func (s *sim) fold(offset platformlog.Offset) *State {
	st := NewState(Schema)
	for _, rec := range s.records[:offset] {
		st.Apply(rec.Offset, rec.Time, rec.Payload)
	}
	return st
}

func (s *sim) appendRecord(payload []byte) {
	s.records = append(s.records, platformlog.Record{
		Offset:  platformlog.Offset(len(s.records) + 1),
		Time:    int64(s.now),
		Payload: payload,
	})
}

// append may fail, take effect although the response is lost, or take effect later.
func (s *sim) append(payload []byte) error {
	if s.logDown {
		return &platformlog.UnavailableError{}
	}
	switch s.rng.IntN(5) {
	case 0:
		s.delayed = append(s.delayed, payload)
		return &platformlog.UnknownOutcomeError{}
	case 1:
		s.appendRecord(payload)
		return &platformlog.UnknownOutcomeError{}
	}
	s.appendRecord(payload)
	return nil
}

func (s *sim) expire() {
	for s.expired < len(s.records) && time.Duration(int64(s.now)-s.records[s.expired].Time) > s.retention {
		s.expired++
	}
}

func (s *sim) read(d *simDaemon, r *Read) Event {
	if s.logDown || d.logUnreachable {
		return LogFailed{}
	}
	earliest := platformlog.Offset(s.expired + 1)
	if r.From < earliest {
		s.stats.truncations++
		return LogTruncated{From: r.From, Earliest: earliest}
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
		if d.node.Instance == p.Peer.Instance && d.inForce != nil && s.rng.IntN(4) > 0 {
			return Pulled{Peer: p.Peer, Answer: d.inForce.Answer(p.Pull)}
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

// recoverable reports whether the state can still be recovered: from a daemon that
// has applied all expired records, or from a snapshot that covers them.
func (s *sim) recoverable() bool {
	if s.expired == 0 {
		return true
	}
	for _, d := range s.daemons {
		if d.inForce != nil && int(d.inForce.Offset) >= s.expired {
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

// stopFaults ends all faults and runs the simulation for another 400 steps.
func (s *sim) stopFaults() {
	s.logDown = false
	s.end = platformlog.Offset(len(s.records))
	s.stateLost = !s.recoverable()
	for _, d := range s.daemons {
		d.logUnreachable = false
	}
	for range 400 {
		s.advance(simStep)
		for _, d := range s.daemons {
			s.sendPeerOffset(d)
		}
	}
}

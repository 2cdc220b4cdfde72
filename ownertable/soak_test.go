package ownertable

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

var (
	soakSeed  = flag.Uint64("soak.seed", 1, "first seed of the random runs")
	soakWorld = flag.Int("soak.worlds", 12, "number of random runs")
)

// TestSoak drives the agents of one service through random faults and asserts
// that no key is held by two targets and that tokens rise.
func TestSoak(t *testing.T) {
	for i := range *soakWorld {
		seed := *soakSeed + uint64(i)
		w := newWorld(seed, ruleKept)
		if err := w.run(worldTime); err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, w.history())
		}
	}
}

// TestBrokenRulesAreCaught breaks one rule at a time; the assertions must find
// each.
func TestBrokenRulesAreCaught(t *testing.T) {
	for _, rule := range []brokenRule{promiseAlways, clockStandsStill, heldIsIgnored, confirmedWhenRead, appendsAnywhere} {
		t.Run(string(rule), func(t *testing.T) {
			for seed := range uint64(400) {
				if err := newWorld(seed, rule).run(worldTime); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("no violation in 400 runs")
		})
	}
}

// brokenRule is a rule that a run breaks on purpose.
type brokenRule string

const (
	ruleKept          brokenRule = ""
	promiseAlways     brokenRule = "promises are given also while a proposal takes rows"
	clockStandsStill  brokenRule = "the clock of leases stands still while the daemon is frozen"
	heldIsIgnored     brokenRule = "a target counts as having let go at once"
	confirmedWhenRead brokenRule = "a read confirms the lease from its answer on"
	appendsAnywhere   brokenRule = "the store ignores the condition of late appends"
)

const (
	worldTime  = 60 * time.Second
	worldStep  = 10 * time.Millisecond
	machines   = 4
	beatEvery  = 870 * time.Millisecond
	statusTime = 400 * time.Millisecond
	silentTime = time.Second
	planEvery  = 50 * time.Millisecond
	hotSpan    = 500
	soakPace   = 0.3
)

// world is a fleet of one service in virtual time.
type world struct {
	rng    *rand.Rand
	broken brokenRule
	now    time.Duration
	queue  []delivery
	log    [][]byte
	down   time.Duration // the store does not answer before
	nodes  []*node
	seen   map[uint32]uint64 // newest token that any target had, by sampled key
	holder map[uint32]Owner
	lines  []string
	hot    uint32 // first of the busy keys
}

// delivery is something that happens later.
type delivery struct {
	at time.Duration
	do func()
}

// node is one machine: its daemon and its target.
type node struct {
	w        *world
	name     ident.Instance
	agent    *Agent
	process  int // counts starts of the daemon
	up       bool
	frozen   time.Duration // until
	lostTime time.Duration // frozen so far, for a clock that stands still
	cutStore time.Duration
	cutPeers time.Duration
	heard    map[ident.Instance]*heardOf
	seq      uint64
	sentAt   map[uint64]clock.Time
	target   *fakeTarget
	load     float64   // offered, as a share of the target's slots
	known    Candidate // the target as the daemon knows it
	beatSeq  uint64
	reading  bool
	nextStat time.Duration
}

// heardOf is what a node knows of another.
type heardOf struct {
	at       clock.Time
	seq      uint64
	process  int
	read     uint64
	target   Candidate
	answered bool
}

// fakeTarget is one life of a target.
type fakeTarget struct {
	id     Target
	up     bool
	seq    uint64
	holds  []heldRow
	busy   map[Range]time.Duration // work on released rows ends then
	freed  []Released
	nextAt time.Duration
}

type heldRow struct {
	Grant
	until time.Duration
}

func newWorld(seed uint64, broken brokenRule) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), broken: broken, seen: make(map[uint32]uint64), holder: make(map[uint32]Owner)}
	w.now = time.Hour
	for i := range machines {
		n := &node{w: w, name: ident.Instance(fmt.Sprintf("m%d", i))}
		n.newTarget()
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

func (w *world) history() string {
	s := ""
	for _, l := range w.lines[max(len(w.lines)-60, 0):] {
		s += l + "\n"
	}
	return s
}

func (w *world) note(format string, args ...any) {
	w.lines = append(w.lines, fmt.Sprintf("%8.2f ", (w.now-time.Hour).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) later(d time.Duration, do func()) {
	w.queue = append(w.queue, delivery{at: w.now + d, do: do})
}

func (w *world) delay() time.Duration { return time.Duration(1+w.rng.IntN(30)) * time.Millisecond }

// run lets time pass and returns the first violation.
func (w *world) run(span time.Duration) error {
	for end := w.now + span; w.now < end; w.now += worldStep {
		w.fault()
		due := w.queue
		w.queue = nil
		for _, d := range due {
			if d.at <= w.now {
				d.do()
			} else {
				w.queue = append(w.queue, d)
			}
		}
		for _, n := range w.nodes {
			n.step()
		}
		if err := w.check(); err != nil {
			return err
		}
	}
	return nil
}

// fault draws a fault now and then.
func (w *world) fault() {
	if w.rng.IntN(60) == 0 {
		w.nodes[w.rng.IntN(len(w.nodes))].load = w.rng.Float64() * 1.8
		w.hot = w.rng.Uint32N(MaxKey)
	}
	if w.rng.IntN(120) != 0 {
		return
	}
	n := w.nodes[w.rng.IntN(machines)]
	span := time.Duration(500+w.rng.IntN(7000)) * time.Millisecond
	switch w.rng.IntN(8) {
	case 0:
		w.note("%s killed for %v", n.name, span/3)
		n.stop(span / 3)
	case 1:
		w.note("%s frozen for %v", n.name, span)
		n.frozen = max(n.frozen, w.now+span)
		n.lostTime += span
	case 2:
		w.note("%s target starts anew", n.name)
		n.newTarget()
	case 3:
		w.note("%s cut from the store for %v", n.name, span)
		n.cutStore = w.now + span
	case 4:
		w.note("%s cut from the others for %v", n.name, span)
		n.cutPeers = w.now + span
	case 5:
		w.note("store down for %v", span)
		w.down = w.now + span
	case 6:
		w.note("%s cut from all for %v", n.name, span)
		n.cutPeers, n.cutStore = w.now+span, w.now+span
	case 7:
		w.note("all killed")
		for _, n := range w.nodes {
			n.stop(time.Duration(300+w.rng.IntN(1500)) * time.Millisecond)
		}
	}
}

// check asserts that no sampled key is held by two targets that are up, and
// that each new holder has a higher token than all before it.
func (w *world) check() error {
	const sample = 4099
	for key := uint32(0); key <= MaxKey; key += sample {
		var holder Owner
		for _, n := range w.nodes {
			if !n.target.up {
				continue
			}
			for i := range n.target.holds {
				h := &n.target.holds[i]
				if !h.Contains(key) || w.now >= h.until {
					continue
				}
				o := Owner{Instance: n.name, Target: n.target.id}
				if !holder.IsZero() && holder != o {
					return fmt.Errorf("key %d is held by %v and %v at %v", key, holder, o, w.now-time.Hour)
				}
				holder = o
				if o != w.holder[key] && h.Token <= w.seen[key] {
					return fmt.Errorf("key %d: %v holds token %d, %v had %d", key, o, h.Token, w.holder[key], w.seen[key])
				}
				w.holder[key], w.seen[key] = o, max(w.seen[key], h.Token)
			}
		}
	}
	return nil
}

func (n *node) clock() clock.Time {
	t := n.w.now
	if n.w.broken == clockStandsStill {
		t -= n.lostTime
	}
	return clock.Time(t)
}

func (n *node) start() {
	n.up, n.reading = true, false
	n.process++
	n.agent = NewAgent(n.name, n.clock())
	n.heard = make(map[ident.Instance]*heardOf)
	n.sentAt = make(map[uint64]clock.Time)
	n.known = Candidate{Owner: Owner{Instance: n.name, Target: n.known.Target}, Slots: 4, Heard: true, Ready: n.known.Ready}
	n.beatSeq = 0
	for _, m := range n.w.nodes {
		if m != n {
			n.heard[m.name] = &heardOf{at: n.clock(), target: Candidate{Owner: Owner{Instance: m.name, Target: m.known.Target}, Slots: 4, Ready: m.known.Ready}}
		}
	}
}

func (n *node) stop(back time.Duration) {
	if !n.up {
		return
	}
	n.up = false
	n.w.later(back, func() {
		if !n.up {
			n.start()
		}
	})
}

func (n *node) newTarget() {
	n.target = &fakeTarget{id: Target{ID: "t", Born: int64(n.w.now)}, up: true, busy: make(map[Range]time.Duration)}
	n.target.nextAt = n.w.now + time.Duration(n.w.rng.IntN(int(beatEvery)))
}

func (n *node) active() bool { return n.up && n.w.now >= n.frozen }

// step lets one machine act.
func (n *node) step() {
	n.target.step(n)
	if !n.active() {
		return
	}
	if !n.reading {
		n.read()
	}
	if n.w.now >= n.nextStat {
		n.nextStat = n.w.now + statusTime
		n.sendStatuses()
	}
	if n.w.now%planEvery == 0 {
		n.plan()
	}
}

// whenActive runs f once the daemon runs, in the same process.
func (n *node) whenActive(process int, f func()) {
	if n.process != process || !n.up {
		return
	}
	if n.w.now < n.frozen {
		n.w.later(n.frozen-n.w.now, func() { n.whenActive(process, f) })
		return
	}
	f()
}

// read asks the store for what is new.
func (n *node) read() {
	n.reading = true
	w, process, sent, from := n.w, n.process, n.clock(), n.agent.read
	answered := false
	w.later(w.delay(), func() {
		if w.now < w.down || w.now < n.cutStore {
			return
		}
		end := uint64(len(w.log))
		records := w.log[min(from, end):end]
		w.later(w.delay(), func() {
			n.whenActive(process, func() {
				answered = true
				n.reading = false
				n.apply(from, records, end, sent)
			})
		})
	})
	w.later(1200*time.Millisecond, func() {
		if !answered {
			n.whenActive(process, func() { n.reading = false })
		}
	})
}

func (n *node) apply(from uint64, records [][]byte, end uint64, sent clock.Time) {
	for i, b := range records {
		if at := from + uint64(i); at >= n.agent.read {
			t, err := Decode(b)
			if err != nil {
				panic(err)
			}
			n.agent.TableRead(t, at, n.clock())
		}
	}
	n.agent.Joined(n.clock())
	if n.w.broken == confirmedWhenRead {
		sent = n.clock()
	}
	n.agent.Applied(end, sent, true)
}

func (n *node) sendStatuses() {
	n.seq++
	n.sentAt[n.seq] = n.clock()
	for _, m := range n.w.nodes {
		if m == n {
			continue
		}
		h := n.heard[m.name]
		seq, echo, echoOf, process, read, target := n.seq, h.seq, h.process, n.process, n.agent.read, n.known
		promise := n.agent.Promises(m.name, h.read) || n.w.broken == promiseAlways
		if n.w.now < n.cutPeers || n.w.now < m.cutPeers {
			continue
		}
		n.w.later(n.w.delay(), func() {
			if m.up {
				m.whenActive(m.process, func() { m.hear(n.name, seq, echo, echoOf, process, read, target, promise) })
			}
		})
	}
}

func (n *node) hear(from ident.Instance, seq, echo uint64, echoOf, process int, read uint64, target Candidate, promise bool) {
	h := n.heard[from]
	if process < h.process || process == h.process && seq <= h.seq {
		return
	}
	if target.Target != h.target.Target || target.Ready != h.target.Ready {
		n.agent.Changed(n.clock())
	}
	h.at, h.seq, h.process, h.read, h.target, h.answered = n.clock(), seq, process, read, target, true
	if sent, ok := n.sentAt[echo]; ok && promise && echoOf == n.process {
		n.agent.Promised(from, sent)
	}
}

func (n *node) others() []ident.Instance {
	var names []ident.Instance
	for _, m := range n.w.nodes {
		if m != n {
			names = append(names, m.name)
		}
	}
	return names
}

// keyLoad makes keys near the hot one busy, so that rows are split.
func (w *world) keyLoad(key uint32) float64 {
	if key-w.hot < hotSpan {
		return 100
	}
	return 1
}

func (n *node) plan() {
	self := n.known
	self.Load, self.Pace = n.load, soakPace
	s := Situation{Now: n.clock(), Self: self, Candidates: []Candidate{self}, Established: true, KeyLoad: n.w.keyLoad}
	for _, m := range n.w.nodes {
		if m == n {
			continue
		}
		h := n.heard[m.name]
		c := h.target
		c.Load, c.Pace = m.load, soakPace
		c.Heard, c.Silent = h.answered, n.clock().Sub(h.at) > silentTime
		s.Candidates = append(s.Candidates, c)
		if !c.Silent && m.name < n.name {
			s.Rank++
		}
	}
	p := n.agent.Plan(&s)
	if p == nil {
		return
	}
	process, w := n.process, n.w
	answer := func(v Verdict) { n.whenActive(process, func() { n.agent.Proposed(p.At, v, n.clock()) }) }
	record := p.Table.Encode()
	late := time.Duration(0)
	if w.rng.IntN(6) == 0 {
		late = time.Duration(1000+w.rng.IntN(5000)) * time.Millisecond
	}
	w.later(w.delay(), func() {
		if w.now < w.down || w.now < n.cutStore {
			w.later(time.Second, func() { answer(Unsettled) })
			return
		}
		w.later(late, func() {
			stands := uint64(len(w.log)) == p.At || w.broken == appendsAnywhere && late > 0
			if stands {
				w.log = append(w.log, record)
				w.note("%s: table at %d of %d changes, first %s", n.name, p.At, len(p.Changes), p.Changes[0].Reason)
			}
			if late == 0 && w.rng.IntN(5) > 0 {
				w.later(w.delay(), func() {
					if stands {
						answer(Stands)
					} else {
						answer(Void)
					}
				})
			}
		})
		if late > 0 {
			w.later(time.Second, func() { answer(Unsettled) })
		}
	})
	w.later(2*time.Second, func() {
		n.whenActive(process, func() {
			if n.agent.proposal.inFlight {
				n.agent.Proposed(p.At, Unsettled, n.clock())
			}
		})
	})
}

// step lets a target release what has lapsed and send its heartbeats.
func (t *fakeTarget) step(n *node) {
	w := n.w
	for r, until := range t.busy {
		if w.now >= until {
			delete(t.busy, r)
			t.freed = append(t.freed, Released{Range: r, Handover: "h"})
		}
	}
	if w.now < t.nextAt {
		return
	}
	t.nextAt = w.now + beatEvery
	t.beat(n)
}

func (t *fakeTarget) beat(n *node) {
	w := n.w
	t.seq++
	seq, sent := t.seq, w.now
	report := Report{Seq: seq, Released: t.freed}
	for _, h := range t.holds {
		if w.now < h.until {
			report.Held = append(report.Held, Held{Range: h.Range, Token: h.Token})
		}
	}
	for r := range t.busy {
		report.Held = append(report.Held, Held{Range: r})
	}
	if w.broken == heldIsIgnored {
		report.Held = nil
	}
	delay := time.Millisecond
	if w.rng.IntN(12) == 0 {
		delay = time.Duration(w.rng.IntN(2500)) * time.Millisecond
	}
	w.later(delay, func() {
		if !n.up || n.target != t {
			return
		}
		n.whenActive(n.process, func() { n.takeBeat(t, &report, sent) })
	})
}

func (n *node) takeBeat(t *fakeTarget, report *Report, sent time.Duration) {
	if n.target != t || n.known.Target == t.id && report.Seq <= n.beatSeq {
		return
	}
	if n.known.Target != t.id {
		if !n.known.Target.IsZero() {
			n.agent.TargetReplaced()
		}
		n.known.Target, n.known.Ready = t.id, true
		n.agent.Changed(n.clock())
	}
	n.beatSeq = report.Seq
	received := n.clock()
	a := n.agent.Heartbeat(n.known.Owner, report, n.others(), 10*time.Second, received, received)
	if a.Hold == 0 {
		return
	}
	n.w.later(time.Millisecond, func() { t.take(n, &a, sent) })
}

// take applies an answer: the target lets go what is left out. Its clock runs
// 2% slow.
func (t *fakeTarget) take(n *node, a *Answer, sent time.Duration) {
	w := n.w
	until := sent + time.Duration(float64(a.Hold)*(1+clockDrift))
	old := t.holds
	t.holds, t.freed = nil, nil
	for _, g := range a.Grants {
		t.holds = append(t.holds, heldRow{Grant: g, until: until})
	}
	for _, h := range old {
		if w.now >= h.until || t.covers(h.Range) {
			continue
		}
		work := time.Duration(w.rng.IntN(300)) * time.Millisecond
		t.busy[h.Range] = w.now + work
		t.nextAt = min(t.nextAt, w.now+100*time.Millisecond)
		if w.broken == heldIsIgnored {
			t.holds = append(t.holds, heldRow{Grant: h.Grant, until: w.now + work})
		}
	}
	for range t.busy {
		t.nextAt = min(t.nextAt, w.now+100*time.Millisecond)
	}
}

func (t *fakeTarget) covers(r Range) bool {
	for i := range t.holds {
		if t.holds[i].Covers(r) {
			return true
		}
	}
	return false
}

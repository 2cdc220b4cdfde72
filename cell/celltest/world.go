package celltest

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
)

const (
	sampleInterval = trueTime(60 * time.Millisecond) // minimum; sampleJitter is added to avoid synchronization with other intervals
	sampleJitter   = trueTime(80 * time.Millisecond)
	probeInterval  = trueTime(35 * time.Millisecond)
	tickInterval   = 250 * time.Millisecond
	settleTime     = trueTime(6 * time.Second)
)

// Options selects the implementation that a run tests.
type Options struct {
	New    Factory
	Encode Encoder
	// NewReference returns the reference state of an empty stream.
	NewReference func() ReferenceState
	// Configure, if set, changes the cell configuration of each process. The
	// rule is that of the schedule.
	Configure func(cfg *cell.Config, rule string)
}

// Result is the outcome of a run.
type Result struct {
	Steps       int64             // steps of all state machines
	VirtualTime time.Duration     // simulated time
	Counts      [faultKinds]int64 // faults by kind
	Acks        int64             // acknowledged grants
	Terms       int64
	Recoveries  int64
	LostStreams int64      // 1 if the world ended because the log was truncated without a snapshot
	Violation   *Violation // nil if all invariants held
}

// World simulates a cell and its environment. A world is used by one goroutine.
type World struct {
	opts      Options
	schedule  *Schedule
	params    params
	rng       *rand.Rand
	now       trueTime
	end       trueTime
	faultsEnd trueTime // time at which all faults have ended
	queue     queue
	procs     []process
	log       fakeLog
	links     links
	active    []activeFault
	exited    []ident.Node
	nextLoad  trueTime
	check     checker
	result    Result
}

// Run runs one schedule to its end or to the first violation.
func Run(opts Options, s *Schedule) (result Result) {
	w := newWorld(opts, s)
	defer func() {
		if r := recover(); r != nil {
			result = w.finish()
			result.Violation = &Violation{Invariant: NoPanic, At: time.Duration(w.now), Step: w.result.Steps, Detail: fmt.Sprint(r)}
		}
	}()
	w.loop()
	return w.finish()
}

func newWorld(opts Options, s *Schedule) *World {
	rng := rand.New(rand.NewSource(s.Seed))
	w := &World{opts: opts, schedule: s, params: newParams(rng, s), rng: rng}
	w.faultsEnd = toTrue(s.FaultsEnd())
	w.end = w.faultsEnd + w.params.recoveryBound() + settleTime
	if s.Profile == Single {
		w.end = w.faultsEnd + toTrue(FailoverBound) + settleTime
	}
	w.log = newFakeLog(toTrue(w.params.retention))
	w.check = newChecker(w)
	w.procs = make([]process, s.Size)
	for slot := range w.procs {
		w.addInstance(slot)
	}
	for i, f := range s.Faults {
		w.queue.push(item{at: toTrue(f.At), kind: itemFaultStart, id: uint64(i)})
	}
	w.queue.push(item{at: sampleInterval, kind: itemSample})
	w.queue.push(item{at: probeInterval, kind: itemProbe})
	return w
}

func (w *World) addInstance(slot int) {
	half := w.params.drift / 2
	rate := []int64{-half, 0, half}[w.rng.Intn(3)]
	p := &w.procs[slot]
	p.slot = slot
	p.clk = driftClock{offset: 1 + w.rng.Int63n(int64(time.Hour)), rate: rate}
	w.queue.push(item{at: trueTime(w.rng.Int63n(int64(2 * time.Second))), kind: itemRestart, slot: int8(slot)})
}

func (w *World) finish() Result {
	w.result.VirtualTime = time.Duration(w.now)
	w.result.Violation = w.check.violation
	return w.result
}

func (w *World) loop() {
	for !w.queue.empty() && w.check.violation == nil {
		it := w.queue.pop()
		if it.at > w.end {
			return
		}
		w.now = it.at
		w.handle(&it)
	}
}

// handle processes one item, or postpones it while its process is frozen.
func (w *World) handle(it *item) {
	if it.kind.boundToProcess() {
		p := &w.procs[it.slot]
		if !p.alive || p.gen != it.gen {
			return
		}
		if p.frozen(w.now) {
			w.postpone(it, p.wakeAt)
			return
		}
	}
	switch it.kind {
	case itemEvent, itemMessage, itemTick, itemReleased, itemEffects, itemWake, itemRestart:
		w.handleProcess(it)
	case itemAppendArrive, itemAppendCommit, itemReadArrive, itemReadPollEnd, itemReadRetry, itemReadResponse:
		w.handleLog(it)
	case itemFaultStart:
		w.startFault(int(it.id))
	case itemFaultEnd:
		w.endFault(int(it.id))
	case itemSample:
		w.check.sample()
		w.reportLoad()
		w.queue.push(item{at: w.now + sampleInterval + w.upTo(sampleJitter), kind: itemSample})
	case itemProbe:
		w.probe(w.rng.Intn(len(w.procs)))
		w.queue.push(item{at: w.now + probeInterval, kind: itemProbe})
	}
}

func (w *World) postpone(it *item, until trueTime) {
	it.at = until
	w.queue.push(*it)
}

func (w *World) handleProcess(it *item) {
	p := &w.procs[it.slot]
	switch it.kind {
	case itemEvent:
		w.step(p, it.event)
	case itemMessage:
		w.deliver(p, it)
	case itemTick:
		w.tick(p, it.id)
	case itemReleased:
		w.released(p, it)
	case itemEffects:
		w.apply(p, it.effects)
	case itemWake:
		w.probe(p.slot)
	case itemRestart:
		w.start(p)
	}
}

// chance returns true with a probability of percent.
func (w *World) chance(percent int) bool {
	return percent > 0 && w.rng.Intn(100) < percent
}

// upTo returns a random duration of at most d.
func (w *World) upTo(d trueTime) trueTime {
	if d <= 0 {
		return 0
	}
	return trueTime(w.rng.Int63n(int64(d) + 1))
}

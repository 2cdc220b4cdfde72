package celltest

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
)

const (
	sampleInterval = trueTime(60 * time.Millisecond) // shortest; varied to be in step with nothing
	sampleJitter   = trueTime(80 * time.Millisecond)
	probeInterval  = trueTime(35 * time.Millisecond)
	tickInterval   = 250 * time.Millisecond
	calmTime       = trueTime(6 * time.Second)
)

// Options are what a run needs besides its schedule.
type Options struct {
	New    Factory
	Encode Encoder
	// Fold returns the reference reading of an empty stream.
	Fold func() Fold
	// Configure changes the parameters of each process, if it is set.
	Configure func(cfg *cell.Config, rule string)
}

// Result is the outcome of a run.
type Result struct {
	Steps       int64
	Virtual     time.Duration
	Counts      [faultKinds]int64
	Acks        int64
	Terms       int64
	Recoveries  int64
	LostStreams int64 // worlds that ended because the log had lost its records
	Violation   *Violation
}

// World is a cell and everything around it.
type World struct {
	opts     Options
	schedule *Schedule
	params   params
	rng      *rand.Rand
	now      trueTime
	end      trueTime
	quiet    trueTime // faults are over from then on
	queue    queue
	procs    []process
	log      fakeLog
	links    links
	active   []activeFault
	dead     []ident.Node
	nextLoad trueTime
	check    checker
	result   Result
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
	w.quiet = toTrue(s.FaultsEnd())
	w.end = w.quiet + w.params.recoveryBound() + calmTime
	if s.Profile == Single {
		w.end = w.quiet + toTrue(ServeAgain) + calmTime
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
	w.result.Virtual = time.Duration(w.now)
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

// handle carries out one planned happening, or puts it off while its process
// is frozen.
func (w *World) handle(it *item) {
	if it.kind.bound() {
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
	case itemAppendArrive, itemAppendLand, itemReadArrive, itemReadPollEnd, itemReadRetry, itemReadAnswer:
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

// chance reports true in percent of the calls.
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

package bench

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/parsleystack/parsleystack/outcome"
)

// nanosleepWindow is the last part of a wait, which uses nanosleep: the kernel's
// timer is more precise than the timers of the Go runtime.
const nanosleepWindow = 2 * time.Millisecond

// generator sends its share of the requests of a run.
type generator struct {
	number   int // index of the generator, part of its request ids
	config   *Config
	schedule *schedule
	keys     *keySource
	random   *rand.Rand
	callers  []*caller
	inFlight chan struct{} // shared by the generators of a run
	recorder *recorder
	lag      *lag
	wait     sync.WaitGroup
}

func newGenerator(number int, config *Config, callers []*caller, inFlight chan struct{}) *generator {
	random := rand.New(rand.NewPCG(config.Seed, uint64(number)))
	return &generator{
		number:   number,
		config:   config,
		schedule: newSchedule(config.Phases, 1/float64(config.Generators), random),
		keys:     newKeySource(config.Keys, random),
		random:   random,
		callers:  callers,
		inFlight: inFlight,
		recorder: newRecorder(),
		lag:      newLag(),
	}
}

// run sends all requests and waits until they have ended.
func (g *generator) run(ctx context.Context, start time.Time) {
	defer g.wait.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		at, ok := g.schedule.next()
		if !ok {
			return
		}
		sleepUntil(ctx, start.Add(at))
		g.lag.record(time.Since(start.Add(at)))
		g.send(start, at, n)
	}
}

// send starts one request. If MaxInFlight is reached, the request is recorded as
// unsent.
func (g *generator) send(start time.Time, at time.Duration, n int) {
	op := g.config.Mix.draw(g.random)
	key := g.keys.draw(at)
	c := g.callers[g.random.IntN(len(g.callers))]
	select {
	case g.inFlight <- struct{}{}:
	default:
		unsent := Class{Kind: outcome.NotRun, Reason: reasonUnsent}
		g.recorder.record(sample{op: op, scheduled: at, class: unsent}, nil)
		return
	}
	id := g.config.RunID + "-" + strconv.Itoa(g.number) + "-" + strconv.Itoa(n)
	g.wait.Go(func() {
		defer func() { <-g.inFlight }()
		g.finish(c, op, key, id, start, at)
	})
}

func (g *generator) finish(c *caller, op int, key, id string, start time.Time, at time.Duration) {
	o := &g.config.Mix[op]
	r := c.call(o, key, id)
	s := sample{
		op:            op,
		scheduled:     at,
		latency:       time.Since(start.Add(at)),
		class:         r.class,
		response:      r.response,
		hasRetryAfter: r.hasRetryAfter,
	}
	s.inTime = r.class.Kind == outcome.Done && s.latency <= o.Timeout
	var toVerify *RequestOutcome
	if !o.Idempotent || r.class.Kind == outcome.NotRun {
		toVerify = &RequestOutcome{ID: id, Op: o.Name, Idempotent: o.Idempotent, Class: r.class}
	}
	g.recorder.record(s, toVerify)
}

// sleepUntil sleeps until t with the precision of the kernel's timer, or until
// ctx is done.
func sleepUntil(ctx context.Context, t time.Time) {
	if rest := time.Until(t) - nanosleepWindow; rest > 0 {
		timer := time.NewTimer(rest)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
	if rest := time.Until(t); rest > 0 {
		ts := unix.NsecToTimespec(int64(rest))
		_ = unix.Nanosleep(&ts, nil)
	}
}

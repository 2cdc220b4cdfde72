package target

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Target is a stand-in for a target. Start it with Serve. It is safe for
// concurrent use.
type Target struct {
	config   Config
	process  string // unique name of this process, sent as HeaderProcess
	http     *fasthttp.Server
	fence    *fence
	recorder *recorder
	counters counters
	slots    chan struct{}
	draining atomic.Bool

	control       atomic.Pointer[Control]
	frozenUntil   atomic.Int64 // Unix nanoseconds
	coldUntil     atomic.Int64 // Unix nanoseconds
	cachedReports reportCache

	randomMu sync.Mutex
	random   *rand.Rand
}

// New returns a target. The configured cold start begins now.
func New(config Config) *Target {
	config = config.withDefaults()
	t := &Target{
		config:   config,
		process:  strconv.FormatInt(time.Now().UnixNano(), 10),
		fence:    newFence(),
		recorder: newRecorder(config),
		slots:    make(chan struct{}, config.Slots),
		random:   rand.New(rand.NewPCG(config.Seed, 0)),
	}
	t.http = &fasthttp.Server{
		Handler:               t.handle,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		Concurrency:           16 * config.Conns,
	}
	t.SetControl(Control{})
	t.coldUntil.Store(time.Now().Add(config.ColdStart).UnixNano())
	return t
}

// Serve accepts connections from listener until Shutdown is called.
func (t *Target) Serve(listener net.Listener) error {
	return t.http.Serve(&limitListener{
		Listener: listener,
		limit:    int64(t.config.Conns),
		cost:     t.config.ConnCost,
		counters: &t.counters,
	})
}

// Shutdown rejects new requests, waits for those in flight until ctx is done,
// and stops the server.
func (t *Target) Shutdown(ctx context.Context) error {
	t.draining.Store(true)
	return t.http.ShutdownWithContext(ctx)
}

// SetControl replaces the faults that the target injects. The durations of a
// freeze and of a cold time start now.
func (t *Target) SetControl(c Control) {
	t.control.Store(&c)
	now := time.Now()
	if c.FreezeMs > 0 {
		t.frozenUntil.Store(now.Add(milliseconds(c.FreezeMs)).UnixNano())
	}
	if c.ColdMs > 0 {
		t.coldUntil.Store(now.Add(milliseconds(c.ColdMs)).UnixNano())
	}
}

// Control returns the faults that the target injects.
func (t *Target) Control() Control { return *t.control.Load() }

// Runs returns the recorded requests in the order of their starts.
func (t *Target) Runs() []Run { return t.recorder.snapshot(0) }

// Stats returns the counters.
func (t *Target) Stats() Stats {
	c := &t.counters
	dropped, duplicates := t.recorder.counts()
	return Stats{
		Started:      c.started.Load(),
		Completed:    c.completed.Load(),
		Canceled:     c.canceled.Load(),
		TimedOut:     c.timedOut.Load(),
		StaleToken:   c.staleToken.Load(),
		Shed:         c.shed.Load(),
		Draining:     c.draining.Load(),
		Cold:         c.cold.Load(),
		Duplicates:   duplicates,
		Dropped:      dropped,
		InFlight:     c.inFlight.current.Load(),
		MaxInFlight:  c.inFlight.peak.Load(),
		Conns:        c.conns.current.Load(),
		MaxConns:     c.conns.peak.Load(),
		ConnsOpened:  c.connsOpened.Load(),
		ConnsRefused: c.connsRefused.Load(),
	}
}

// waitWhileFrozen blocks while the target is frozen.
func (t *Target) waitWhileFrozen() {
	for {
		remaining := time.Until(time.Unix(0, t.frozenUntil.Load()))
		if remaining <= 0 {
			return
		}
		time.Sleep(remaining)
	}
}

// chance returns true with probability ratio.
func (t *Target) chance(ratio float64) bool {
	if ratio <= 0 {
		return false
	}
	t.randomMu.Lock()
	defer t.randomMu.Unlock()
	return t.random.Float64() < ratio
}

// serviceTime returns a random processing time for a request.
func (t *Target) serviceTime(c *Control) time.Duration {
	mean, dist := t.config.ServiceTime, t.config.Dist
	if c.ServiceUs > 0 {
		mean = time.Duration(c.ServiceUs) * time.Microsecond
	}
	if c.ServiceDist != "" {
		dist = c.ServiceDist
	}
	if dist == Constant {
		return mean
	}
	t.randomMu.Lock()
	defer t.randomMu.Unlock()
	return dist.draw(t.random, mean)
}

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// Times of the departure case. drainTime and touchTime are drainMs and stableWindowMs of the
// settings, storeDown and stay the lengths that the site names.
const (
	drainTime   = 2 * time.Second
	touchTime   = 3 * time.Second
	steadyTime  = 4 * time.Second
	storeDown   = 4500 * time.Millisecond
	restartTime = 500 * time.Millisecond
	stay        = 15 * time.Second
)

// runDeparture lets a backend announce its departure to its daemon, which acknowledges it,
// while the store is away, and restarts that daemon before the store is back. Rule DRAIN: the
// backend gets no request later than drainMs after the acknowledgement.
func runDeparture(c *cluster, disturbed bool) (verdict, error) {
	c.configure()
	if err := c.addMachines("payments", "payments", "payments"); err != nil {
		return verdict{}, err
	}
	if err := c.awaitReady("/pay/ready"); err != nil {
		return verdict{}, err
	}
	for _, m := range c.machines {
		m.backend.work = 250 * time.Millisecond
	}
	load := startLoad(c.machines[1:], 12, 150*time.Millisecond, request{method: http.MethodPost, path: "/pay/1", deadline: time.Second, body: []byte("deposit")})
	defer load.stop()
	time.Sleep(steadyTime)
	leaving := c.machines[0]
	if disturbed {
		c.store.SetFault(platformtest.Unavailable)
		c.record.add("the store answers 503")
	}
	away := time.Now()
	time.Sleep(200 * time.Millisecond)
	if err := leaving.backend.leave(); err != nil {
		return verdict{}, fmt.Errorf("the departure was not acknowledged: %w", err)
	}
	acknowledged := time.Now()
	c.record.add("%s: the daemon has acknowledged the departure of backend %s", leaving.name, leaving.backend.id)
	if disturbed {
		leaving.daemon.terminate()
		c.record.add("%s: daemon stopped after SIGTERM", leaving.name)
		if time.Since(away) > storeDown-restartTime {
			return verdict{}, errors.New("the daemon took too long to stop")
		}
		time.Sleep(restartTime)
		if err := leaving.daemon.start(); err != nil {
			return verdict{}, err
		}
		time.Sleep(time.Until(away.Add(storeDown)))
		c.store.SetFault(platformtest.NoFault)
		c.record.add("the store answers again")
	}
	inTouch := time.Now().Add(touchTime)
	time.Sleep(time.Until(acknowledged.Add(stay)))
	lost := load.inFlightAt(leaving.backend)
	leaving.backend.end()
	c.record.add("%s: backend %s has ended", leaving.name, leaving.backend.id)
	time.Sleep(time.Second)
	load.stop()
	from := inTouch
	if bound := acknowledged.Add(drainTime); bound.After(from) {
		from = bound
	}
	late, last := 0, time.Time{}
	for _, r := range load.results() {
		if at, ok := leaving.backend.ran(r.id); ok && at.After(from) && r.sentAt.After(inTouch) {
			late++
			last = at
		}
	}
	v := verdict{broken: late > 0}
	v.text = fmt.Sprintf("DRAIN: %d requests of %d reached a backend over %v after the acknowledgement of its departure, from machines in touch", late, len(load.results()), drainTime)
	if late > 0 {
		v.text += fmt.Sprintf(", the last one %.1f s after it; %d of them were cut off by its end", last.Sub(acknowledged).Seconds(), lost)
	}
	return v, nil
}

// load is a number of clients that send one kind of request again and again.
type load struct {
	stopOnce sync.Once
	stopped  chan struct{}
	clients  sync.WaitGroup

	mu  sync.Mutex
	all []sentRequest
}

// sentRequest is a request of a load and its result.
type sentRequest struct {
	result
	sentAt time.Time
	at     *machine // where it began
}

// startLoad starts clients at each machine that pause between two requests.
func startLoad(machines []*machine, perMachine int, pause time.Duration, r request) *load {
	l := &load{stopped: make(chan struct{})}
	for _, m := range machines {
		for range perMachine {
			l.clients.Go(func() { l.run(m, pause, r) })
		}
	}
	return l
}

func (l *load) run(m *machine, pause time.Duration, r request) {
	cl := &client{m: m}
	defer cl.close()
	for {
		select {
		case <-l.stopped:
			return
		case <-time.After(pause/2 + rand.N(pause)): // so that the clients do not keep step
		}
		if !m.daemon.running() {
			continue // clients get no new work where nobody answers
		}
		r.id = newID()
		sentAt := time.Now()
		m.c.record.add("%s: client sends %s", m.name, r.id)
		res := cl.call(r)
		m.c.record.add("%s: client got status %d for %s after %d ms (error: %v)", m.name, res.status, r.id, res.took.Milliseconds(), res.err)
		l.mu.Lock()
		l.all = append(l.all, sentRequest{result: res, sentAt: sentAt, at: m})
		l.mu.Unlock()
	}
}

// stop stops the clients after their requests in flight.
func (l *load) stop() {
	l.stopOnce.Do(func() { close(l.stopped) })
	l.clients.Wait()
}

func (l *load) results() []sentRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]sentRequest(nil), l.all...)
}

// inFlightAt returns the number of requests that a backend works on.
func (l *load) inFlightAt(b *backend) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}

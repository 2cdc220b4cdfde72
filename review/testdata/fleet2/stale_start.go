package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	clockStep   = 2 * time.Second // the largest jump of the time of day that the bench names
	burstPeriod = 4 * time.Second // time between two bursts of requests
	burstSize   = 33
	arrivalWait = 300 * time.Millisecond // for requests that are on their way
)

// arrivals collects the requests that a backend runs.
type arrivals struct {
	mu   sync.Mutex
	runs []*requestRun
}

func (a *arrivals) add(_ *target, r *requestRun) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs = append(a.runs, r)
}

// after returns the number of requests that were begun later than a time.
func (a *arrivals) after(t time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, r := range a.runs {
		if r.at.After(t) {
			n++
		}
	}
	return n
}

// burst sends some requests at once, at all machines, and waits for the answers.
func (f *fleet) burst(path string) {
	var all sync.WaitGroup
	for i := range burstSize {
		n := f.nodes[i%len(f.nodes)]
		all.Go(func() { f.call(context.Background(), n, http.MethodPost, path, -1) })
	}
	all.Wait()
}

// staleStart starts a backend while the clock of its machine is ahead. The clock is set right,
// and the backend crashes and starts again, under the id that it had. Much later it leaves.
func staleStart(f *fleet, trouble bool) (broken bool, err error) {
	f.store.Configure(1, host, routes, "reports")
	n := f.nodes[4]
	ahead := time.Duration(0)
	if trouble {
		ahead = clockStep
	}
	n.target.bornAhead = ahead
	seen := new(arrivals)
	n.target.onRun = seen.add
	if err := f.start(); err != nil {
		return false, err
	}
	if err := f.await("a heartbeat of "+n.target.id+" was acknowledged", 3*time.Second, func() bool { return !n.target.acknowledgedAt().IsZero() }); err != nil {
		return false, err
	}
	f.rec.say("%s stated that it was born at %d", n.target.id, n.target.born)
	if trouble {
		f.rec.say("the clock of %s is set right, by %v", n.name, -ahead)
	}
	n.target.kill()
	time.Sleep(300 * time.Millisecond)
	n.target.bornAhead = 0
	if err := n.target.start(time.Now().UnixMilli()); err != nil {
		return false, err
	}
	f.rec.say("%s was started again, born at %d", n.target.id, n.target.born)
	for range 3 { // longer than the stable window
		time.Sleep(burstPeriod)
		f.burst("/book/x")
	}
	f.rec.say("%s has run %d requests", n.target.id, len(seen.runs))
	n.target.leave()
	left := time.Now()
	time.Sleep(burstPeriod)
	acked := n.target.leftAcknowledged()
	if acked.IsZero() {
		f.rec.say("its leaving was not acknowledged within %v", time.Since(left))
		return false, nil
	}
	f.rec.say("its leaving was acknowledged %v after it began", acked.Sub(left))
	f.burst("/book/x")
	time.Sleep(arrivalWait)
	late := seen.after(acked.Add(drainTime))
	f.rec.say("requests that it began to run later than %v after the acknowledgement: %d", drainTime, late)
	return late > 0, nil
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The load and the events of the case: release-room of raumtafel-mesh-grown at a quiet hour.
const (
	releasesPerS   = 10
	releaseWork    = 290 * time.Millisecond
	releaseTime    = 2 * time.Second // deadline
	answerDelay    = 40 * time.Millisecond
	replaceRounds  = 10
	roundTime      = 5 * time.Second
	departureLimit = 6 * time.Second
)

// runExtra replaces the backends of a service that is divided by key, one after the other.
// The backends send a few of their answers a second time. Rule TWICE.
func runExtra(c *cluster, disturbed bool) (verdict, error) {
	c.site, c.memoryMB = raumtafelGrown, 184
	c.sharded = newHoldJudge(c.record)
	c.backendWork, c.answerDelay = releaseWork, answerDelay
	c.putConfiguration("release.json")
	if err := c.addMachines("freigabe", "freigabe", "freigabe"); err != nil {
		return verdict{}, err
	}
	if err := c.awaitServed(release); err != nil {
		return verdict{}, err
	}
	l := &releaseLoad{c: c, stopped: make(chan struct{}), status: make(map[string]int)}
	l.sending.Go(l.send)
	if disturbed {
		go c.garbleAgainAndAgain(l.stopped)
	}
	for range replaceRounds {
		if err := c.addMachines("freigabe"); err != nil {
			return verdict{}, err
		}
		time.Sleep(roundTime)
		if err := c.replaceOldest(); err != nil {
			return verdict{}, err
		}
	}
	close(l.stopped)
	l.sending.Wait()
	return l.verdict(), nil
}

// replaceOldest drains the oldest backend that still runs, and ends its machine.
func (c *cluster) replaceOldest() error {
	for _, m := range c.machines {
		b := m.sharded
		b.mu.Lock()
		if b.ended || b.draining {
			b.mu.Unlock()
			continue
		}
		b.draining = true
		b.mu.Unlock()
		c.record.add("%s: backend %s is draining", m.name, b.id)
		for end := time.Now().Add(departureLimit); !b.empty() && time.Now().Before(end); {
			time.Sleep(releasePause)
		}
		b.end()
		c.record.add("%s: backend %s has ended", m.name, b.id)
		go m.daemon.terminate()
		return nil
	}
	return fmt.Errorf("no backend is left")
}

// empty reports whether the backend holds nothing and works on nothing.
func (b *shardedBackend) empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.granted)+len(b.leftOut)+len(b.released)+b.running+b.waiting == 0
}

// release is a request that may run once at most.
func release(key int) request {
	return request{method: http.MethodPut, path: "/release/1", deadline: releaseTime, body: []byte("room"), lines: fmt.Sprintf("%s: %d\r\n", name("key"), key)}
}

// releaseLoad sends requests to the machines whose daemon is ready.
type releaseLoad struct {
	c       *cluster
	stopped chan struct{}
	sending sync.WaitGroup

	mu     sync.Mutex
	status map[string]int // by request id
}

func (l *releaseLoad) send() {
	for {
		select {
		case <-l.stopped:
			return
		case <-time.After(time.Second/releasesPerS/2 + rand.N(time.Second/releasesPerS)):
		}
		var ready []*machine
		for _, m := range l.c.all() {
			if b := m.sharded; !b.leaving() {
				ready = append(ready, m)
			}
		}
		l.sending.Go(func() { l.call(ready[rand.IntN(len(ready))]) })
	}
}

// runs returns how often the backend began to run a request.
func (b *shardedBackend) runs(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.begun[id]
}

func (b *shardedBackend) leaving() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended || b.draining
}

func (l *releaseLoad) call(m *machine) {
	cl := &client{m: m}
	defer cl.close()
	r := release(rand.IntN(keyCount))
	r.id = newID()
	m.c.record.add("%s: client sends %s (%q)", m.name, r.id, r.lines)
	res := cl.call(r)
	m.c.record.add("%s: client got status %d for %s after %d ms (error: %v)", m.name, res.status, r.id, res.took.Milliseconds(), res.err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status[r.id] = res.status
}

// verdict judges rules TWICE and REFUSED.
func (l *releaseLoad) verdict() verdict {
	twice, refused, done := 0, 0, 0
	for id, status := range l.status {
		runs := 0
		for _, m := range l.c.all() {
			runs += m.sharded.runs(id)
		}
		if runs > 1 {
			twice++
			l.c.record.add("TWICE: %s ran %d times", id, runs)
		}
		if runs > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			refused++
			l.c.record.add("REFUSED: %s was answered %d and ran %d times", id, status, runs)
		}
		if status == http.StatusOK {
			done++
		}
	}
	g := &l.c.garble
	return verdict{broken: twice+refused > 0, text: fmt.Sprintf("TWICE: %d of %d requests that may run once ran more than once; REFUSED: %d were answered 503 and ran; %d of %d answers of the faulty backends came a second time; %d requests succeeded",
		twice, len(l.status), refused, g.spoiled, g.answers, done)}
}

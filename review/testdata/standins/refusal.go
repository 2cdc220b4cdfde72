package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The load and the disruption of the case: report-view of perizia-mesh, and srv_slow.
const (
	reportsPerS   = 438
	reportWork    = 90 * time.Millisecond
	reportTime    = 800 * time.Millisecond // deadline
	slowFactor    = 12
	slowTime      = 9000 * time.Millisecond
	slowRounds    = 2
	reportsBefore = 5 * time.Second
	firstBusyKey  = 20_000
	busyKeys      = 2_000
)

// runRefusal lets one of four backends of a service that is divided by key turn slow. While
// its queue is long it accepts fewer connections and resets those beyond. Rule OWNER.
func runRefusal(c *cluster, disturbed bool) (verdict, error) {
	c.sharded = newHoldJudge(c.record)
	c.backendWork = reportWork
	c.putConfiguration("sharded.json")
	if err := c.addMachines("reports", "reports", "reports", "reports"); err != nil {
		return verdict{}, err
	}
	if err := c.awaitServed(report); err != nil {
		return verdict{}, err
	}
	l := startReports(c)
	time.Sleep(reportsBefore)
	slow := c.machines[0].sharded
	for range slowRounds {
		if disturbed {
			slow.setWork(slowFactor)
			c.record.add("%s: backend %s turns slow", slow.m.name, slow.id)
		}
		time.Sleep(slowTime)
		if disturbed {
			slow.setWork(1)
			c.record.add("%s: backend %s has its normal speed again", slow.m.name, slow.id)
		}
		time.Sleep(slowTime)
	}
	total, done := l.stop()
	v := c.sharded.verdict()
	resets := 0
	for _, m := range c.machines {
		resets += m.sharded.resets
	}
	v.text += fmt.Sprintf("; backends stopped to accept connections %d times; %d of %d requests succeeded", resets, done, total)
	return v, nil
}

func (b *shardedBackend) setWork(factor time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work = factor * reportWork
}

func report(key int) request {
	return request{method: http.MethodGet, path: "/report/1", deadline: reportTime, lines: fmt.Sprintf("%s: %d\r\n", name("key"), key)}
}

// drawKey draws the key of a request: "Some keys are far busier than others, the busy keys
// are close to one another".
func drawKey() int {
	if rand.IntN(2) == 0 {
		return firstBusyKey + rand.IntN(busyKeys)
	}
	return rand.IntN(keyCount)
}

// awaitServed waits until all daemons are ready and requests on keys all over the range
// succeed at each of them.
func (c *cluster) awaitServed(of func(key int) request) error {
	deadline := time.Now().Add(readyTimeout)
	for _, m := range c.machines {
		for key := 0; key < keyCount; {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve key %d", m.name, key)
			}
			cl := &client{m: m}
			if !m.ready() || cl.call(of(key)).status != http.StatusOK {
				time.Sleep(100 * time.Millisecond)
			} else {
				key += keyCount / 16
			}
			cl.close()
		}
	}
	return nil
}

// reportLoad sends requests at a rate, each from one of the clients that are idle.
type reportLoad struct {
	stopped chan struct{}
	sending sync.WaitGroup

	mu          sync.Mutex
	idle        map[*machine][]*client
	total, done int
}

func startReports(c *cluster) *reportLoad {
	l := &reportLoad{stopped: make(chan struct{}), idle: make(map[*machine][]*client)}
	for _, m := range c.machines {
		l.sending.Go(func() { l.send(m, time.Second*time.Duration(len(c.machines))/reportsPerS) })
	}
	return l
}

func (l *reportLoad) send(m *machine, pause time.Duration) {
	next := time.Now()
	for {
		next = next.Add(pause/2 + rand.N(pause))
		select {
		case <-l.stopped:
			return
		case <-time.After(time.Until(next)):
		}
		l.sending.Go(func() { l.call(m) })
	}
}

func (l *reportLoad) call(m *machine) {
	l.mu.Lock()
	cl := &client{m: m}
	if n := len(l.idle[m]); n > 0 {
		cl, l.idle[m] = l.idle[m][n-1], l.idle[m][:n-1]
	}
	l.mu.Unlock()
	r := report(drawKey())
	r.id = newID()
	m.c.record.add("%s: client sends %s (%q)", m.name, r.id, r.lines)
	res := cl.call(r)
	m.c.record.add("%s: client got status %d for %s after %d ms (error: %v)", m.name, res.status, r.id, res.took.Milliseconds(), res.err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	if res.status == http.StatusOK && res.stamped {
		l.done++
	}
	l.idle[m] = append(l.idle[m], cl)
}

func (l *reportLoad) stop() (total, done int) {
	close(l.stopped)
	l.sending.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, clients := range l.idle {
		for _, cl := range clients {
			cl.close()
		}
	}
	return l.total, l.done
}

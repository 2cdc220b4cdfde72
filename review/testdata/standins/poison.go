package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"
)

// The deadly request and its callers. leaveTime is half of the objective, the time of
// give_up.
const (
	deadlyPath    = "/archive/deadly"
	deadlyTime    = 2500 * time.Millisecond // deadline
	leaveTime     = 500 * time.Millisecond
	crashAfter    = 1300 * time.Millisecond
	downTime      = 2 * time.Second
	deadlyPause   = 5500 * time.Millisecond // between two of its attempts
	deadlyRounds  = 14
	countedDeaths = 3 // rule BUDGET counts from stableWindowMs after the third
	allowedAfter  = 3
)

// runPoison sends a request again and again that crashes each backend that runs it. Its
// callers leave before their deadline. Rule BUDGET.
func runPoison(c *cluster, disturbed bool) (verdict, error) {
	c.putConfiguration("archive.json")
	if err := c.addMachines("payments", "payments", "payments", "payments"); err != nil {
		return verdict{}, err
	}
	if err := c.awaitReady("/pay/ready"); err != nil {
		return verdict{}, err
	}
	for _, m := range c.machines {
		m.backend.mu.Lock()
		m.backend.deadly, m.backend.crashAfter, m.backend.crashTime = deadlyPath, crashAfter, downTime
		m.backend.mu.Unlock()
	}
	l := startLoad(c.machines, 6, 100*time.Millisecond, request{method: http.MethodPost, path: "/pay/1", deadline: time.Second, body: []byte("deposit")})
	defer l.stop()
	time.Sleep(steadyTime)
	for i := range deadlyRounds {
		m := c.machines[i%len(c.machines)]
		stay := deadlyTime
		if disturbed {
			stay = leaveTime
		}
		go sendDeadly(m, stay)
		time.Sleep(deadlyPause)
	}
	time.Sleep(downTime)
	l.stop()
	return judgeDeaths(c), nil
}

// sendDeadly sends the deadly request, whose caller leaves after a time.
func sendDeadly(m *machine, stay time.Duration) {
	cl := &client{m: m, leave: stay}
	defer cl.close()
	id := newID()
	m.c.record.add("%s: client sends the deadly request %s and leaves after %v", m.name, id, stay)
	res := cl.call(request{method: http.MethodGet, path: deadlyPath, id: id, deadline: deadlyTime})
	m.c.record.add("%s: client got status %d for the deadly request %s after %d ms (error: %v)", m.name, res.status, id, res.took.Milliseconds(), res.err)
}

// crash ends the backend while it runs a request, and starts it again as a new incarnation.
func (b *backend) crash(id string, began time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listener == nil { // it has crashed or ended meanwhile
		return
	}
	b.m.c.record.add("%s: backend %s crashes of %s, with %d other requests at work", b.m.name, b.id, id, b.running-1)
	b.deaths = append(b.deaths, death{id: id, began: began, end: time.Now(), lost: b.running - 1})
	_ = b.listener.Close() // it is open
	b.listener = nil
	close(b.stop)
	for conn := range b.conns {
		_ = conn.(*net.TCPConn).SetLinger(0) // it is a TCP connection, which a crash resets
		_ = conn.Close()                     // it may be closed already
	}
	time.AfterFunc(b.crashTime, func() {
		if err := b.startAgain(); err != nil {
			b.m.c.record.add("%s: the backend does not start again: %v", b.m.name, err)
		}
	})
}

func (b *backend) startAgain() error {
	b.mu.Lock()
	if b.finished {
		b.mu.Unlock()
		return errors.New("the run is over")
	}
	b.id, b.seq, b.running, b.stop = "i-"+newID()[:10], 0, 0, make(chan struct{})
	b.mu.Unlock()
	if err := b.start(); err != nil {
		return err
	}
	b.m.c.record.add("%s: the backend is back as %s", b.m.name, b.id)
	return nil
}

// judgeDeaths judges rule BUDGET: no machine was disturbed, all are in touch.
func judgeDeaths(c *cluster) verdict {
	var all []death
	for _, m := range c.machines {
		m.backend.mu.Lock()
		all = append(all, m.backend.deaths...)
		m.backend.mu.Unlock()
	}
	lost := 0
	var ends []time.Time
	for _, d := range all {
		lost += d.lost
		ends = append(ends, d.end)
	}
	late := 0
	if len(all) >= countedDeaths {
		slices.SortFunc(ends, time.Time.Compare)
		from := ends[countedDeaths-1].Add(touchTime)
		for _, d := range all {
			if d.began.After(from) {
				late++
				c.record.add("BUDGET: the deadly request %s reached a backend %.1f s after the third crash", d.id, d.began.Sub(ends[countedDeaths-1]).Seconds())
			}
		}
	}
	return verdict{broken: late > allowedAfter, text: fmt.Sprintf("BUDGET: a deadly request reached backends in %d retries over %v after it had crashed the third, %d are allowed; it crashed %d backends, which lost %d other requests",
		late, touchTime, allowedAfter, len(all), lost)}
}

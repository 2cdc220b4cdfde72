package main

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// The load of the case: zone lombardia-c of perizia-mesh, whose callers all use one machine.
const (
	maxFiles      = 4100 // maxFds of the settings
	usersPerS     = 312  // requests a second, one for each user
	thinkTime     = 11800 * time.Millisecond
	burstFactor   = 1.7
	burstTime     = 3 * time.Second
	beforeBurst   = 13 * time.Second
	afterBurst    = 3 * time.Second
	minOwnFiles   = 2 * maxFiles
	userStartTick = 10 * time.Millisecond
)

// runConnections lets users come who each keep one connection and send a request on it every
// 11.8 s, and then, in a burst, more of them. Rule LOST: a process that ends by itself counts
// as running all the while.
func runConnections(c *cluster, disturbed bool) (verdict, error) {
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err != nil || own.Cur < minOwnFiles {
		return verdict{}, fmt.Errorf("the stand-ins may open %d files, %d are needed (error: %v)", own.Cur, minOwnFiles, err)
	}
	c.configure()
	if err := c.addMachines("payments", "payments", "payments"); err != nil {
		return verdict{}, err
	}
	for _, m := range c.machines {
		m.backend.work = 80 * time.Millisecond
		if err := m.daemon.limitFiles(maxFiles); err != nil {
			return verdict{}, err
		}
	}
	if err := c.awaitReady("/pay/ready"); err != nil {
		return verdict{}, err
	}
	u := &users{m: c.machines[2], stopped: make(chan struct{})}
	begin := time.Now()
	u.arrive(usersPerS, begin.Add(12*time.Second))
	time.Sleep(time.Until(begin.Add(beforeBurst)))
	steady := u.count()
	if disturbed {
		u.arrive((burstFactor-1)*usersPerS, time.Now().Add(burstTime))
	} else {
		time.Sleep(burstTime)
	}
	time.Sleep(afterBurst)
	ended := !u.m.daemon.running()
	u.stop()
	cut := 0
	for _, r := range u.all {
		if r.status == 0 && r.kept && r.sent && c.ranAnywhere(r.id) {
			cut++
			c.record.add("%s: %s was run and its connection closed without an answer", u.m.name, r.id)
		}
	}
	return verdict{broken: ended && cut > maxUnanswered, text: fmt.Sprintf(
		"LOST: %d requests of %d that a backend ran were cut without an answer; %d users before the burst, %d at its end; the daemon ended by itself: %v",
		cut, len(u.all), steady, u.count(), ended)}, nil
}

// limitFiles sets the limit of descriptors of the process, as the platform does.
func (p *daemonProcess) limitFiles(n uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil)
}

// users are callers at one machine that each keep a connection.
type users struct {
	m       *machine
	stopped chan struct{}
	running sync.WaitGroup

	mu      sync.Mutex
	started int
	all     []result
}

// arrive starts users at a rate until a time.
func (u *users) arrive(perS float64, until time.Time) {
	begin, started := time.Now(), 0
	for time.Now().Before(until) {
		due := int(math.Floor(time.Since(begin).Seconds() * perS))
		for ; started < due; started++ {
			u.mu.Lock()
			u.started++
			u.mu.Unlock()
			u.running.Go(u.use)
		}
		time.Sleep(userStartTick)
	}
}

// use sends requests of one user until it gets no answer or the users are stopped.
func (u *users) use() {
	cl := &client{m: u.m}
	defer cl.close()
	for {
		id := newID()
		u.m.c.record.add("%s: client sends %s", u.m.name, id)
		res := cl.call(request{method: http.MethodPost, path: "/pay/1", id: id, deadline: time.Second, body: []byte("deposit")})
		u.m.c.record.add("%s: client got status %d for %s after %d ms (error: %v)", u.m.name, res.status, id, res.took.Milliseconds(), res.err)
		u.mu.Lock()
		u.all = append(u.all, res)
		u.mu.Unlock()
		if res.err != nil {
			return
		}
		select {
		case <-u.stopped:
			return
		case <-time.After(thinkTime):
		}
	}
}

func (u *users) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.started
}

func (u *users) stop() {
	close(u.stopped)
	u.running.Wait()
}

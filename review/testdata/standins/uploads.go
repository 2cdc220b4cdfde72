package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// The uploads of the case: each stays within maxBodyBytes of the configuration.
const (
	uploadClients = 6
	uploadBytes   = 20_000_000
	uploadRounds  = 3
	uploadPause   = 5 * time.Second
)

// maxUnanswered is the number of requests without an answer that rule LOST allows.
const maxUnanswered = 3

// runUploads lets a few clients of one machine send large bodies at the same time, all within
// the limits of the configuration, and kills a daemon that exceeds its memory, as the
// platform does. Rule LOST: such a process counts as running all the while.
func runUploads(c *cluster, disturbed bool) (verdict, error) {
	c.configure()
	if err := c.addMachines("bookings", "bookings", "bookings"); err != nil {
		return verdict{}, err
	}
	for _, m := range c.machines {
		m.backend.work = 120 * time.Millisecond
	}
	if err := c.awaitReady("/book/ready"); err != nil {
		return verdict{}, err
	}
	w := watchMemory(c)
	l := startLoad(c.machines, 8, 100*time.Millisecond, request{method: http.MethodPost, path: "/book/1", deadline: 5 * time.Second, body: []byte("a booking")})
	defer l.stop()
	time.Sleep(5 * time.Second)
	bytes, clients := env("BYTES", uploadBytes), env("CLIENTS", uploadClients)
	if disturbed {
		body := make([]byte, bytes)
		for range uploadRounds {
			uploadTogether(c.machines[0], clients, body)
			time.Sleep(uploadPause)
		}
	} else {
		time.Sleep(uploadRounds * uploadPause)
	}
	l.stop()
	kills := w.stop()
	cut := make(map[string]int)
	for _, r := range l.results() {
		if r.status == 0 && r.kept && r.sent && c.ranAnywhere(r.id) {
			cut[r.at.name]++
			c.record.add("%s: %s was run and its connection closed without an answer", r.at.name, r.id)
		}
	}
	worst := 0
	for _, n := range cut {
		worst = max(worst, n)
	}
	return verdict{broken: worst > maxUnanswered, text: fmt.Sprintf(
		"LOST: %d requests of %d that a backend ran were cut without an answer at one machine; daemons were killed %d times for their memory; peak in MB: %v",
		worst, len(l.results()), kills, w.peaks())}, nil
}

func env(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// uploadTogether lets clients of a machine upload at the same time.
func uploadTogether(m *machine, clients int, body []byte) {
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			cl := &client{m: m}
			defer cl.close()
			id := newID()
			m.c.record.add("%s: client uploads %d bytes with %s", m.name, len(body), id)
			res := cl.call(request{method: http.MethodPost, path: "/book/upload", id: id, deadline: 15 * time.Second, body: body})
			m.c.record.add("%s: client got status %d for upload %s after %d ms (error: %v)", m.name, res.status, id, res.took.Milliseconds(), res.err)
		})
	}
	all.Wait()
}

func (c *cluster) ranAnywhere(id string) bool {
	for _, m := range c.machines {
		if _, ok := m.backend.ran(id); ok {
			return true
		}
	}
	return false
}

// memoryWatch kills daemons that exceed their memory and starts them again.
type memoryWatch struct {
	c       *cluster
	stopped chan struct{}
	done    sync.WaitGroup

	mu    sync.Mutex
	kills int
	peak  map[string]int // KB
}

func watchMemory(c *cluster) *memoryWatch {
	w := &memoryWatch{c: c, stopped: make(chan struct{}), peak: make(map[string]int)}
	for _, m := range c.machines {
		w.done.Go(func() { w.watch(m) })
	}
	return w
}

func (w *memoryWatch) watch(m *machine) {
	for {
		select {
		case <-w.stopped:
			return
		case <-time.After(memoryPoll):
		}
		kb := m.daemon.anonymousKB()
		w.mu.Lock()
		w.peak[m.name] = max(w.peak[m.name], kb)
		w.mu.Unlock()
		if kb <= w.c.memoryMB<<10 {
			continue
		}
		m.daemon.kill()
		w.c.record.add("%s: daemon killed, since it takes %d MB of %d", m.name, kb>>10, w.c.memoryMB)
		w.mu.Lock()
		w.kills++
		w.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		if err := m.daemon.start(); err != nil {
			w.c.record.add("%s: %v", m.name, err)
		}
	}
}

func (w *memoryWatch) stop() (kills int) {
	close(w.stopped)
	w.done.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.kills
}

func (w *memoryWatch) peaks() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	mb := make(map[string]int)
	for name, kb := range w.peak {
		mb[name] = kb >> 10
	}
	return mb
}

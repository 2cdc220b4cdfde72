package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The requests of the case. The head of each stays far below maxHeaderBytes (16,384).
const (
	manyFields    = 140
	fewFields     = 20
	bookingWork   = 300 * time.Millisecond
	beforeFields  = time.Second // between SIGTERM and the request with many fields
	acceptedAfter = 2 * time.Second
	fieldsRounds  = 3
)

// runFields stops a daemon as planned. While it drains, one of its callers sends a request
// with many header fields. Rule LOST, after a SIGTERM.
func runFields(c *cluster, disturbed bool) (verdict, error) {
	c.configure()
	if err := c.addMachines("payments", "bookings"); err != nil {
		return verdict{}, err
	}
	if err := c.awaitReady("/book/ready"); err != nil {
		return verdict{}, err
	}
	entry := c.machines[0]
	for _, m := range c.machines {
		m.backend.work = bookingWork
	}
	n := fewFields
	if disturbed {
		n = manyFields
	}
	l := startLoad(c.machines[:1], 10, 20*time.Millisecond, request{method: http.MethodPost, path: "/book/1", deadline: 3 * time.Second, body: []byte("booking")})
	defer l.stop()
	var stops []time.Time
	for range fieldsRounds {
		time.Sleep(steadyTime)
		stops = append(stops, time.Now())
		c.record.add("%s: SIGTERM", entry.name)
		ended := make(chan struct{})
		go func() {
			entry.daemon.terminate()
			close(ended)
		}()
		time.Sleep(beforeFields)
		sendFields(entry, n)
		<-ended
		if err := entry.daemon.start(); err != nil {
			return verdict{}, err
		}
		if err := c.awaitReady("/book/ready"); err != nil {
			return verdict{}, err
		}
	}
	l.stop()
	lost := 0
	for _, r := range l.results() {
		began, ran := c.machines[1].backend.ran(r.id)
		end := r.sentAt.Add(r.took)
		for _, stop := range stops {
			if ran && r.status == http.StatusBadGateway && r.sentAt.After(stop) && r.sentAt.Before(stop.Add(acceptedAfter)) && end.Before(began.Add(bookingWork)) {
				lost++
				c.record.add("LOST: %s was broken off and answered 502, %d ms after the backend began to run it", r.id, end.Sub(began).Milliseconds())
			}
		}
	}
	return verdict{broken: lost > 0, text: fmt.Sprintf("LOST: after a SIGTERM %d requests of %d were broken off at which the backend was at work, and answered 502", lost, len(l.results()))}, nil
}

// sendFields sends a request with a number of header fields of its own.
func sendFields(m *machine, n int) {
	var lines strings.Builder
	for i := range n {
		fmt.Fprintf(&lines, "X-Field-%d: %d\r\n", i, i)
	}
	cl := &client{m: m}
	defer cl.close()
	id := newID()
	m.c.record.add("%s: client sends %s with %d further header fields of %d bytes together", m.name, id, n, lines.Len())
	res := cl.call(request{method: http.MethodPost, path: "/book/fields", id: id, deadline: 2 * time.Second, lines: lines.String()})
	m.c.record.add("%s: client got status %d for %s after %d ms (error: %v)", m.name, res.status, id, res.took.Milliseconds(), res.err)
}

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/platform/platformtest"
)

const (
	uploaders     = 3700     // about as many connections as one machine has descriptors for
	uploadBody    = 32 << 10 // far below the limit for bodies
	uploadsAtOnce = 40
	newCallers    = 8
	callerPause   = 400 * time.Millisecond
	lookFor       = 20 * time.Second
)

// tries are the attempts of ordinary callers, each on a new connection.
type tries struct {
	mu      sync.Mutex
	served  int
	refused int       // before the request was read
	other   int       // answers of another kind
	last    time.Time // when a connection was taken last
	longest time.Duration
	ready   int // checks of the readiness that were answered with 200
	checks  int
}

// taken records a connection on which a request was read. The caller holds the lock.
func (t *tries) taken() {
	now := time.Now()
	t.longest = max(t.longest, now.Sub(t.last))
	t.last = now
}

// unfinishedBodies lets many clients send a body each, whole, and then another one that stops
// just short of its end, on a connection that stays open. Ordinary callers come beside them.
func unfinishedBodies(f *fleet, trouble bool) (broken bool, err error) {
	f.store.Configure(1, host, routes, "reports")
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // all in touch
	n := f.nodes[0]
	open, served, err := f.upload(n, trouble)
	defer func() {
		for _, c := range open {
			_ = c.Close() // nothing is read from it any more
		}
	}()
	if err != nil {
		return false, err
	}
	f.rec.say("%d clients were served, %d stay open", served, len(open))
	t := &tries{last: time.Now()}
	begun := time.Now()
	var all sync.WaitGroup
	for range newCallers {
		all.Go(func() {
			for time.Since(begun) < lookFor {
				f.try(n, t)
				time.Sleep(callerPause)
			}
		})
	}
	all.Go(func() {
		for time.Since(begun) < lookFor {
			f.checkReady(n, t)
			time.Sleep(time.Second)
		}
	})
	all.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.longest = max(t.longest, time.Since(t.last))
	f.rec.say("ordinary callers: %d served, %d refused before their request was read, %d others; ready at %d of %d checks", t.served, t.refused, t.other, t.ready, t.checks)
	f.rec.say("longest time in which no new connection was taken: %v", t.longest.Round(time.Millisecond))
	return t.longest > stableWindow && t.ready == t.checks, nil
}

// upload sends the bodies of all clients and returns the connections that stay open.
func (f *fleet) upload(n *node, trouble bool) (open []net.Conn, served int, err error) {
	var mu sync.Mutex
	var next atomic.Int64
	var all sync.WaitGroup
	for range uploadsAtOnce {
		all.Go(func() {
			for next.Add(1) <= uploaders {
				c, ok, failure := f.uploadOnce(n, trouble)
				mu.Lock()
				if ok {
					served++
				}
				if c != nil {
					open = append(open, c)
				}
				if failure != nil {
					err = errors.Join(err, failure)
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	if served < uploaders*9/10 {
		return open, served, fmt.Errorf("only %d of %d clients were served: %w", served, uploaders, err)
	}
	return open, served, nil
}

// uploadOnce sends one body and then, if trouble is set, another one without its last byte. ok
// reports whether the first one was served.
func (f *fleet) uploadOnce(n *node, trouble bool) (open net.Conn, ok bool, err error) {
	c, err := net.Dial("tcp", n.addr(callerPort))
	if err != nil {
		return nil, false, err
	}
	body := bytes.Repeat([]byte("b"), uploadBody)
	if err := sendUpload(c, body); err != nil {
		return c, false, err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 512), nil)
	if err != nil {
		return c, false, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return c, false, err
	}
	ok = resp.StatusCode == http.StatusOK
	if !trouble {
		return nil, ok, c.Close()
	}
	return c, ok, sendUpload(c, body[:len(body)-1])
}

// sendUpload sends the head of a request with a body of uploadBody bytes, and what there is of it.
func sendUpload(c net.Conn, body []byte) error {
	if _, err := fmt.Fprintf(c, "POST /book/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: 1000\r\nContent-Length: %d\r\n\r\n", host, newID(), platformtest.DeadlineHeader, uploadBody); err != nil {
		return err
	}
	_, err := c.Write(body)
	return err
}

// try sends a request of an ordinary caller on a new connection.
func (f *fleet) try(n *node, t *tries) {
	id := newID()
	status, header, err := platformtest.RawCall(n.addr(callerPort), platformtest.Head(host, http.MethodPost, "/book/x", id, "Content-Length: 0\r\n"+platformtest.DeadlineHeader+": 1000\r\n"))
	read := err == nil && header.Get("Request-Id") == id
	f.rec.add("ordinary caller, request %s: status %d, its request was read: %t, %v", id, status, read, err)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case read && status == http.StatusOK:
		t.served++
		t.taken()
	case read:
		t.other++
		t.taken()
	default:
		t.refused++
	}
}

func (f *fleet) checkReady(n *node, t *tries) {
	resp, err := http.Get("http://" + n.addr(readyPort) + platform.ReadyPath)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checks++
	if err != nil {
		return
	}
	_ = resp.Body.Close() // it has none
	if resp.StatusCode == http.StatusOK {
		t.ready++
	}
}

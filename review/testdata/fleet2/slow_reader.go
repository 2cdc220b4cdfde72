package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

const (
	answerSize  = 10 << 20
	readPiece   = 100 << 10
	readPause   = 50 * time.Millisecond // 2 MB a second
	readBuffer  = 64 << 10
	slowReaders = 2
	graceTime   = 6 * time.Second
	beforeStop  = 300 * time.Millisecond
)

// download is what one client has received.
type download struct {
	id      string
	status  int
	want    int64
	got     int64
	took    time.Duration // since the SIGTERM, or the time of it
	problem error
}

// slowReader takes answers of several megabytes at 2 MB a second, and stops the daemon that
// passes them on meanwhile. All of them could be complete within the grace time.
func slowReader(f *fleet, trouble bool) (broken bool, err error) {
	f.store.Configure(1, host, append(routes, platformtest.Route{Prefix: "/archive/", Idempotent: true, Service: "payments", TimeoutMS: 10000, LatencyMS: 5000}), "reports")
	for _, t := range f.of("payments") {
		t.answerBytes = answerSize
	}
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // all in touch, and nothing disturbed in the last 3 s
	n := f.nodes[4]
	stopped := time.Now().Add(beforeStop)
	var all sync.WaitGroup
	results := make([]download, slowReaders)
	for i := range results {
		all.Go(func() { results[i] = f.readSlowly(n, stopped) })
	}
	time.Sleep(time.Until(stopped))
	if trouble {
		f.rec.say("SIGTERM to the daemon of %s", n.name)
		if err := n.daemon.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	all.Wait()
	cut := 0
	for _, d := range results {
		f.rec.say("request %s: status %d, %d of %d bytes, %v after the SIGTERM: %v", d.id, d.status, d.got, d.want, d.took.Round(time.Millisecond), d.problem)
		if d.status == http.StatusOK && d.got < d.want && d.took < graceTime+time.Second {
			cut++
		}
	}
	if trouble {
		select {
		case <-n.exited:
		case <-time.After(graceTime):
		}
	}
	f.rec.say("answers that were cut: %d of %d", cut, slowReaders)
	return cut > 0, nil
}

// readSlowly sends a request and reads the answer at a client's pace.
func (f *fleet) readSlowly(n *node, stopped time.Time) (d download) {
	d.id = newID()
	defer func() {
		d.took = time.Since(stopped)
		f.rec.add("request %s has got %d of %d bytes: %v", d.id, d.got, d.want, d.problem)
	}()
	c, err := net.Dial("tcp", n.addr(callerPort))
	if err != nil {
		d.problem = err
		return d
	}
	defer func() { _ = c.Close() }() // the answer was read
	if d.problem = c.(*net.TCPConn).SetReadBuffer(readBuffer); d.problem != nil {
		return d
	}
	f.rec.add("request %s is sent at %s", d.id, n.name)
	if _, d.problem = fmt.Fprintf(c, "GET /archive/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: 10000\r\n\r\n", host, d.id, platformtest.DeadlineHeader); d.problem != nil {
		return d
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 4<<10), nil)
	if err != nil {
		d.problem = err
		return d
	}
	d.status, d.want = resp.StatusCode, resp.ContentLength
	f.rec.add("request %s is answered with %d, %d bytes follow", d.id, d.status, d.want)
	for {
		got, err := io.CopyN(io.Discard, resp.Body, readPiece)
		d.got += got
		if err == io.EOF { //nolint:errorlint // a wrapped one is no end of the answer
			return d
		}
		if err != nil {
			d.problem = err
			return d
		}
		time.Sleep(readPause)
	}
}

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// backend is a stand-in for the application backend of one machine. Its service is not
// divided by key.
type backend struct {
	m    *machine
	id   string
	born int64
	work time.Duration

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	seq      int
	silent   bool // it sends no more heartbeats
	finished bool // it does not start again
	running  int
	arrived  map[string]time.Time // by request id, when it began to run
	answered map[string]time.Time // by request id, when its answer was written
	stop     chan struct{}

	// deadly is the path of the request that crashes the backend, crashAfter after it began
	// to run it. The backend is back after crashTime.
	deadly                string
	crashAfter, crashTime time.Duration
	deaths                []death
}

// death is a run of the deadly request.
type death struct {
	id         string
	began, end time.Time
	lost       int // other requests that the crash interrupted
}

func newBackend(m *machine) *backend {
	return &backend{
		m: m, id: "i-" + newID()[:10], work: 60 * time.Millisecond, conns: make(map[net.Conn]struct{}),
		arrived: make(map[string]time.Time), answered: make(map[string]time.Time), stop: make(chan struct{}),
	}
}

func (b *backend) start() error {
	l, err := net.Listen("tcp", b.m.addr(appPort))
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.listener, b.born = l, time.Now().UnixMilli()
	stop := b.stop
	b.mu.Unlock()
	go b.accept(l)
	go b.sendHeartbeats(stop)
	return nil
}

// end ends the backend: its connections are closed and nothing listens any more.
func (b *backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finished = true
	if b.listener == nil {
		return
	}
	_ = b.listener.Close() // it is open
	b.listener = nil
	close(b.stop)
	for conn := range b.conns {
		_ = conn.Close() // it may be closed already
	}
}

func (b *backend) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = struct{}{}
		b.mu.Unlock()
		go func() {
			b.serve(conn)
			_ = conn.Close() // it may be closed already
			b.mu.Lock()
			delete(b.conns, conn)
			b.mu.Unlock()
		}()
	}
}

// serve answers the requests of one connection.
func (b *backend) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if _, err := conn.Write(b.answer(req)); err != nil {
			return
		}
		b.mu.Lock()
		b.answered[req.Header.Get("Request-Id")] = time.Now()
		b.mu.Unlock()
	}
}

// answer runs a request and returns its answer.
func (b *backend) answer(req *http.Request) []byte {
	id := req.Header.Get("Request-Id")
	b.mu.Lock()
	instance := b.id
	b.mu.Unlock()
	if want := req.Header.Get(name("expected")); want != "" && want != instance {
		return notExecuted("421 Misdirected Request", id, instance)
	}
	if !b.begin(id) {
		b.m.c.record.add("%s: backend %s rejects %s", b.m.name, instance, id)
		return notExecuted("503 Service Unavailable", id, instance)
	}
	b.m.c.record.add("%s: backend %s runs %s", b.m.name, instance, id)
	if b.deadly != "" && req.URL.Path == b.deadly {
		began := time.Now()
		time.Sleep(b.crashAfter)
		b.crash(id, began)
		return nil
	}
	time.Sleep(b.work)
	b.mu.Lock()
	if b.id == instance { // else it has crashed meanwhile
		b.running--
	}
	b.mu.Unlock()
	return success(id, instance)
}

// begin takes a slot. It reports false if none is free.
func (b *backend) begin(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running >= slots {
		return false
	}
	b.running++
	b.arrived[id] = time.Now()
	return true
}

var heartbeatClient = &http.Client{Timeout: time.Second}

func (b *backend) sendHeartbeats(stop <-chan struct{}) {
	for {
		b.mu.Lock()
		silent := b.silent
		b.mu.Unlock()
		if silent {
			return
		}
		pause := b.m.c.site.heartbeat
		if err := b.sendHeartbeat(); err != nil {
			pause = 200 * time.Millisecond
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

func (b *backend) sendHeartbeat() error {
	b.mu.Lock()
	b.seq++
	id, born, seq := b.id, b.born, b.seq
	b.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"address": b.m.addr(appPort), "born": born,
		"info":   map[string]any{"service": b.m.service, "version": "v1", "zone": b.m.zone, "slots": slots},
		"status": map[string]any{"state": "ready", "seq": seq, name("warmup"): 0},
	})
	if err != nil {
		return err
	}
	return b.tell(http.MethodPut, id, body)
}

// leave sends the departure notice as a backend does that never reports draining: it is the
// last that it says of itself. It returns an error if the notice is not acknowledged.
func (b *backend) leave() error {
	b.mu.Lock()
	b.silent = true
	b.mu.Unlock()
	return b.tell(http.MethodDelete, b.id, nil)
}

func (b *backend) tell(method, id string, body []byte) error {
	req, err := http.NewRequest(method, "http://"+b.m.addr(controlPort)+name("instances")+id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := heartbeatClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // nothing is left to read
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s was answered with status %d", method, resp.StatusCode)
	}
	return nil
}

// ran returns when the backend began to run a request.
func (b *backend) ran(id string) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.arrived[id]
	return at, ok
}

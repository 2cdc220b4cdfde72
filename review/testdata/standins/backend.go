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
	running  int
	arrived  map[string]time.Time // by request id, when it began to run
	answered map[string]time.Time // by request id, when its answer was written
	stop     chan struct{}
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
	b.listener, b.born = l, time.Now().UnixMilli()
	go b.accept()
	go b.sendHeartbeats()
	return nil
}

// end ends the backend: its connections are closed and nothing listens any more.
func (b *backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
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

func (b *backend) accept() {
	l := b.listener
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
	if want := req.Header.Get("Expected-Instance"); want != "" && want != b.id {
		return fmt.Appendf(nil, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, b.id)
	}
	if !b.begin(id) {
		b.m.c.record.add("%s: backend %s rejects %s", b.m.name, b.id, id)
		return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	}
	b.m.c.record.add("%s: backend %s runs %s", b.m.name, b.id, id)
	time.Sleep(b.work)
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	body := "body of " + id
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: stamp.%s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", id, b.id, len(body), body)
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

func (b *backend) sendHeartbeats() {
	for {
		b.mu.Lock()
		silent := b.silent
		b.mu.Unlock()
		if silent {
			return
		}
		pause := heartbeatEvery
		if err := b.sendHeartbeat(); err != nil {
			pause = 200 * time.Millisecond
		}
		select {
		case <-b.stop:
			return
		case <-time.After(pause):
		}
	}
}

func (b *backend) sendHeartbeat() error {
	b.mu.Lock()
	b.seq++
	seq := b.seq
	b.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"address": b.m.addr(appPort), "born": b.born,
		"info":   map[string]any{"service": b.m.service, "version": "v1", "zone": b.m.zone, "slots": slots},
		"status": map[string]any{"state": "ready", "seq": seq, "coldRemainingMs": 0},
	})
	if err != nil {
		return err
	}
	return b.tell(http.MethodPut, body)
}

// leave sends the departure notice as a backend does that never reports draining: it is the
// last that it says of itself. It returns an error if the notice is not acknowledged.
func (b *backend) leave() error {
	b.mu.Lock()
	b.silent = true
	b.mu.Unlock()
	return b.tell(http.MethodDelete, nil)
}

func (b *backend) tell(method string, body []byte) error {
	req, err := http.NewRequest(method, "http://"+b.m.addr(controlPort)+"/api/instances/"+b.id, bytes.NewReader(body))
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

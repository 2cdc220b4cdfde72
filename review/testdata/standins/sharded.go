package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	keyCount = 1 << 16
	// maxConnections and queueLength are those of the site's services.
	maxConnections = 130
	queueLength    = 72
	// longQueue is the number of waiting requests above which a backend accepts only one
	// connection for each of its slots.
	longQueue     = 4
	listenPoll    = 2 * time.Millisecond
	releasePause  = 50 * time.Millisecond // between heartbeats until keys are released
	waitRetry     = time.Millisecond
	handoverBytes = 16
)

// hold is a range of keys that a backend was granted.
type hold struct {
	from, to int
	fence    int64
}

// shardedBackend is a stand-in for an application backend whose service is divided by key.
// It goes on with a request whose connection is closed, as a few backends do.
type shardedBackend struct {
	m    *machine
	id   string
	born int64

	mu       sync.Mutex
	work     time.Duration
	listener net.Listener
	ended    bool
	conns    map[net.Conn]struct{}
	seq      int
	granted  []hold // by the newest answer
	leftOut  []hold // left out of an answer, while it still works on them
	until    time.Time
	released [][3]any
	keyWork  map[int]int // requests at work, by key
	running  int
	waiting  int
	resets   int // times that it has stopped to listen since it had too many connections
	draining bool
	begun    map[string]int // how often it began to run a request, by id

	// answerDelay is how long the answer to a heartbeat is under way to it.
	answerDelay time.Duration
	maxFence    [keyCount]int64
}

func newShardedBackend(m *machine) *shardedBackend {
	return &shardedBackend{m: m, id: "i-" + newID()[:10], work: m.c.backendWork, answerDelay: m.c.answerDelay, conns: make(map[net.Conn]struct{}), keyWork: make(map[int]int), begun: make(map[string]int)}
}

func (b *shardedBackend) start() error {
	b.born = time.Now().UnixMilli()
	if err := b.listen(); err != nil {
		return err
	}
	go b.limitConnections()
	go b.sendHeartbeats()
	return nil
}

func (b *shardedBackend) listen() error {
	l, err := net.Listen("tcp", b.m.addr(appPort))
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.listener = l
	b.mu.Unlock()
	go b.accept(l)
	return nil
}

func (b *shardedBackend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	if b.listener != nil {
		_ = b.listener.Close() // it is open
		b.listener = nil
	}
	for conn := range b.conns {
		_ = conn.Close() // it may be closed already
	}
}

// tooManyConnections reports whether no further connection is accepted. The caller holds
// b.mu.
func (b *shardedBackend) tooManyConnections() bool {
	limit := maxConnections
	if b.waiting > longQueue {
		limit = slots
	}
	return len(b.conns) >= limit
}

// limitConnections stops to listen while there are too many connections, so that further
// ones are reset: "A port with no listener resets the connection."
func (b *shardedBackend) limitConnections() {
	for {
		time.Sleep(listenPoll)
		b.mu.Lock()
		full, l, ended := b.tooManyConnections(), b.listener, b.ended
		if full && l != nil && !ended {
			b.listener = nil
			b.resets++
			_ = l.Close() // it is open
			b.m.c.record.add("%s: backend %s has %d connections and %d waiting requests and resets further connections", b.m.name, b.id, len(b.conns), b.waiting)
		}
		b.mu.Unlock()
		switch {
		case ended:
			return
		case !full && l == nil:
			if b.listen() == nil {
				b.m.c.record.add("%s: backend %s accepts connections again", b.m.name, b.id)
			}
		}
	}
}

func (b *shardedBackend) accept(l net.Listener) {
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

func (b *shardedBackend) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	var again []byte // an answer that is sent a second time
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if again != nil {
			if _, err := conn.Write(again); err != nil {
				return
			}
		}
		answer := b.answer(req)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		again = nil
		if b.m.c.garble.spoils(b, answer) {
			b.m.c.record.add("%s: backend %s will send its rejection of %s a second time", b.m.name, b.id, req.Header.Get("Request-Id"))
			again = answer
		}
	}
}

func (b *shardedBackend) answer(req *http.Request) []byte {
	id := req.Header.Get("Request-Id")
	key, err := strconv.Atoi(req.Header.Get(name("key")))
	if want := req.Header.Get(name("expected")); want != "" && want != b.id || err != nil || key < 0 || key >= keyCount {
		return notExecuted("421 Misdirected Request", id, b.id)
	}
	left, err := strconv.Atoi(req.Header.Get(name("deadline")))
	if err != nil {
		left = 1000
	}
	deadline := time.Now().Add(time.Duration(left) * time.Millisecond)
	b.mu.Lock()
	if !b.holdsKey(key, time.Now()) {
		b.mu.Unlock()
		return notExecuted("421 Misdirected Request", id, b.id)
	}
	if b.waiting >= queueLength {
		b.mu.Unlock()
		return notExecuted("503 Service Unavailable", id, b.id)
	}
	b.waiting++
	for b.running >= slots && time.Now().Before(deadline) {
		b.mu.Unlock()
		time.Sleep(waitRetry)
		b.mu.Lock()
	}
	b.waiting--
	switch now := time.Now(); {
	case !now.Before(deadline):
		b.mu.Unlock()
		return notExecuted("503 Service Unavailable", id, b.id)
	case !b.holdsKey(key, now):
		b.mu.Unlock()
		return notExecuted("421 Misdirected Request", id, b.id)
	}
	b.running++
	b.begun[id]++
	b.keyWork[key]++
	defer b.endWork(key)
	work := b.work
	b.mu.Unlock()
	b.m.c.record.add("%s: backend %s runs %s on key %d", b.m.name, b.id, id, key)
	b.m.c.sharded.began(b, key)
	time.Sleep(work)
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	return success(id, b.id)
}

func (b *shardedBackend) endWork(key int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.keyWork[key]--; b.keyWork[key] == 0 {
		delete(b.keyWork, key)
	}
}

// holdsKey reports whether a key is granted. The caller holds b.mu.
func (b *shardedBackend) holdsKey(key int, now time.Time) bool {
	if !now.Before(b.until) {
		return false
	}
	for _, h := range b.granted {
		if h.from <= key && key <= h.to {
			return true
		}
	}
	return false
}

func (b *shardedBackend) sendHeartbeats() {
	for {
		pause := b.sendHeartbeat()
		b.mu.Lock()
		ended := b.ended
		b.mu.Unlock()
		if ended {
			return
		}
		time.Sleep(pause)
	}
}

// sendHeartbeat sends a heartbeat, applies the answer and returns the pause to the next one.
func (b *shardedBackend) sendHeartbeat() time.Duration {
	b.mu.Lock()
	b.seq++
	b.releaseIdle()
	rows := [][3]int64{}
	for _, h := range append(append([]hold(nil), b.granted...), b.leftOut...) {
		rows = append(rows, [3]int64{int64(h.from), int64(h.to), h.fence})
	}
	released := b.released
	if released == nil {
		released = [][3]any{}
	}
	state := "ready"
	if b.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"address": b.m.addr(appPort), "born": b.born,
		"info":   map[string]any{"service": b.m.service, "version": "v1", "zone": b.m.zone, "slots": slots},
		"status": map[string]any{"state": state, "seq": b.seq, name("warmup"): 0},
		"holds":  rows, "released": released,
	})
	b.mu.Unlock()
	if err != nil {
		return b.m.c.site.heartbeat
	}
	sent := time.Now()
	answer, err := b.put(body)
	time.Sleep(b.answerDelay)
	if err != nil || time.Since(sent) >= time.Second {
		return releasePause
	}
	b.mu.Lock()
	b.released = b.released[len(released):]
	b.mu.Unlock()
	if answer.ttl > 0 {
		b.apply(answer.rows, sent.Add(answer.ttl))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.leftOut) > 0 || len(b.released) > 0 {
		return releasePause
	}
	return b.m.c.site.heartbeat
}

// grantsAnswer is the answer to a heartbeat. ttl is 0 if it renews nothing.
type grantsAnswer struct {
	rows [][4]json.RawMessage
	ttl  time.Duration
}

func (b *shardedBackend) put(body []byte) (*grantsAnswer, error) {
	req, err := http.NewRequest(http.MethodPut, "http://"+b.m.addr(controlPort)+name("instances")+b.id, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := heartbeatClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // nothing is left to read
	if resp.StatusCode/100 != 2 {
		return nil, fmt.Errorf("the heartbeat was answered with status %d", resp.StatusCode)
	}
	var fields map[string]json.RawMessage
	if err := json.NewDecoder(resp.Body).Decode(&fields); err != nil {
		return nil, err
	}
	answer := new(grantsAnswer)
	ttl, ok := fields[name("ttl")]
	if !ok {
		return answer, nil
	}
	ms := 0
	err = errors.Join(json.Unmarshal(ttl, &ms), json.Unmarshal(fields["holds"], &answer.rows))
	answer.ttl = time.Duration(ms) * time.Millisecond
	return answer, err
}

// apply replaces what the backend holds by the rows of an answer.
func (b *shardedBackend) apply(rows [][4]json.RawMessage, until time.Time) {
	var granted []hold
	b.mu.Lock()
	for _, row := range rows {
		var h hold
		if json.Unmarshal(row[0], &h.from) != nil || json.Unmarshal(row[1], &h.to) != nil || json.Unmarshal(row[2], &h.fence) != nil || !b.acceptable(h) {
			continue
		}
		for k := h.from; k <= h.to; k++ {
			b.maxFence[k] = h.fence
		}
		granted = append(granted, h)
	}
	if time.Now().Before(b.until) { // an expired lease is not reported as released
		for _, old := range b.granted {
			if !covered(granted, old) {
				b.leftOut = append(b.leftOut, old)
			}
		}
	}
	b.granted, b.until = granted, until
	b.releaseIdle()
	b.mu.Unlock()
	b.m.c.sharded.took(b, granted, until)
}

func (b *shardedBackend) acceptable(h hold) bool {
	if h.from < 0 || h.to >= keyCount || h.from > h.to {
		return false
	}
	for k := h.from; k <= h.to; k++ {
		if b.maxFence[k] > h.fence {
			return false
		}
	}
	return true
}

func covered(rows []hold, h hold) bool {
	next := h.from
	for range rows {
		for _, r := range rows {
			if r.from <= next && next <= r.to {
				next = r.to + 1
			}
		}
	}
	return next > h.to
}

// releaseIdle releases the ranges that were left out and on which no work is left. The
// caller holds b.mu.
func (b *shardedBackend) releaseIdle() {
	var busy []hold
	for _, h := range b.leftOut {
		if b.worksOn(h) {
			busy = append(busy, h)
			continue
		}
		b.released = append(b.released, [3]any{h.from, h.to, newID()[:handoverBytes]})
	}
	b.leftOut = busy
}

func (b *shardedBackend) worksOn(h hold) bool {
	for key := range b.keyWork {
		if h.from <= key && key <= h.to {
			return true
		}
	}
	return false
}

// atWork reports whether the backend works on a key.
func (b *shardedBackend) atWork(key int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.keyWork[key] > 0
}

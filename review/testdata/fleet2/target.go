package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// target is a backend as the platform's pages describe it: it sends heartbeats to the daemon
// beside it, holds the keys that it is granted, and runs requests.
type target struct {
	rec                              *record
	id, service, zone, addr, control string
	keyed                            bool
	slots                            int
	bornAhead                        time.Duration // by which the clock of its machine is ahead
	work                             time.Duration
	answerBytes                      int // size of the answers; a short text if 0

	mu       sync.Mutex
	born     int64
	seq      int
	up       bool
	leaving  bool
	ackedAt  time.Time // when its leaving was acknowledged
	holds    []held
	released [][3]any
	working  map[int64]int // requests in progress by key
	running  int
	lastBeat time.Time // when the newest acknowledged heartbeat was sent
	stopBeat context.CancelFunc
	server   *http.Server
	onRun    func(t *target, r *requestRun)
}

// held is a range of keys that a backend holds.
type held struct {
	from, to int64
	fence    int64
	until    time.Time
}

// requestRun is one request that a backend has begun to run.
type requestRun struct {
	id, caller, uri string
	key             int64
	fence           int64
	at              time.Time
}

// start starts the backend. born is the time of its start by the clock of its machine, in Unix
// milliseconds.
func (t *target) start(born int64) error {
	l, err := net.Listen("tcp", t.addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.mu.Lock()
	t.born, t.seq, t.up, t.leaving, t.ackedAt, t.holds, t.released, t.working, t.running, t.stopBeat = born+t.bornAhead.Milliseconds(), 0, true, false, time.Time{}, nil, nil, make(map[int64]int), 0, cancel
	server := &http.Server{Handler: http.HandlerFunc(t.handle)}
	t.server = server
	t.mu.Unlock()
	t.rec.add("backend %s of %s starts, born %d", t.id, t.service, t.born)
	go func() { _ = server.Serve(l) }() // ends with kill
	t.lastBeat = time.Time{}
	go t.sendHeartbeats(ctx)
	return nil
}

// kill ends the backend like a crash.
func (t *target) kill() {
	t.mu.Lock()
	if !t.up {
		t.mu.Unlock()
		return
	}
	t.up, t.holds = false, nil
	t.stopBeat()
	server := t.server
	t.mu.Unlock()
	_ = server.Close() // it closes all connections
	t.rec.add("backend %s ends", t.id)
}

// leave makes the backend state that it leaves.
func (t *target) leave() {
	t.mu.Lock()
	t.leaving = true
	t.mu.Unlock()
	t.rec.add("backend %s leaves", t.id)
}

// leftAcknowledged returns when its leaving was acknowledged.
func (t *target) leftAcknowledged() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ackedAt
}

// acknowledgedAt returns when the newest heartbeat was sent that was acknowledged; zero if there
// is none.
func (t *target) acknowledgedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastBeat
}

// held returns what it holds at a time.
func (t *target) held(at time.Time) []held {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []held
	for _, h := range t.holds {
		if at.Before(h.until) {
			list = append(list, h)
		}
	}
	return list
}

func (t *target) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		pause := heartbeat
		if err := t.sendHeartbeat(ctx); err != nil && ctx.Err() == nil {
			t.rec.add("heartbeat of %s is not acknowledged: %v", t.id, err)
		}
		t.mu.Lock()
		if len(t.released) > 0 {
			pause = 90 * time.Millisecond
		}
		t.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// maxAnswer is the largest answer in bytes that acknowledges a heartbeat.
const maxAnswer = 4 << 10

func (t *target) sendHeartbeat(ctx context.Context) error {
	body, born, leaving := t.heartbeat()
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+t.control+platformtest.InstancesPath+t.id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // it is read below
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 || len(text) > maxAnswer {
		return fmt.Errorf("status %d, %d bytes", resp.StatusCode, len(text))
	}
	return t.acknowledged(text, born, leaving, sent)
}

// heartbeat returns the body of the next heartbeat.
func (t *target) heartbeat() (body []byte, born int64, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	state := "ready"
	if t.leaving {
		state = "draining"
	}
	m := heartbeatMessage(t.addr, t.born, t.service, t.zone, t.slots, state, t.seq)
	if t.keyed {
		holds := [][3]int64{}
		now := time.Now()
		for _, h := range t.holds {
			if now.Before(h.until) {
				holds = append(holds, [3]int64{h.from, h.to, h.fence})
			}
		}
		for key := range t.working {
			if !covered(t.holds, key, now) {
				holds = append(holds, [3]int64{key, key, 0})
			}
		}
		m["holds"], m["released"] = holds, append([][3]any{}, t.released...)
	}
	body, err := json.Marshal(m)
	if err != nil {
		panic(err) // the values above can be encoded
	}
	return body, t.born, t.leaving
}

func covered(list []held, key int64, now time.Time) bool {
	for _, h := range list {
		if h.from <= key && key <= h.to && now.Before(h.until) {
			return true
		}
	}
	return false
}

// acknowledged applies the answer to a heartbeat that was sent at a time.
func (t *target) acknowledged(text []byte, born int64, leaving bool, sent time.Time) error {
	rows, ttl, granted, err := decodeGrants(text)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.up || t.born != born {
		return nil
	}
	t.lastBeat = sent
	if leaving && t.ackedAt.IsZero() {
		t.ackedAt = time.Now()
		t.rec.add("the leaving of %s is acknowledged", t.id)
	}
	if !granted {
		t.released = nil
		return nil
	}
	old := t.holds
	t.holds, t.released = nil, nil
	for _, h := range rows {
		h.until = sent.Add(ttl)
		t.holds = append(t.holds, h)
	}
	now := time.Now()
	for _, h := range old {
		if now.Before(h.until) && !coveredRange(t.holds, h) {
			t.released = append(t.released, [3]any{h.from, h.to, fmt.Sprintf("%016x", h.fence)})
		}
	}
	t.rec.add("backend %s holds %d rows for %v", t.id, len(t.holds), ttl)
	return nil
}

func coveredRange(list []held, r held) bool {
	for _, h := range list {
		if h.from <= r.from && r.to <= h.to {
			return true
		}
	}
	return false
}

// handle serves a request.
func (t *target) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	h := w.Header()
	h.Set("Request-Id", id)
	h.Set("Instance-Id", t.id)
	t.mu.Lock()
	if t.leaving {
		h.Set(platformtest.LeavingHeader, "1")
	}
	leaving := t.leaving
	t.mu.Unlock()
	if r.URL.Path == platformtest.HealthPath {
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if want := r.Header.Get(platformtest.ExpectedHeader); want != "" && want != t.id {
		t.rec.add("backend %s gets %s for %s: 421", t.id, id, want)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set(platformtest.NotRunHeader, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	x, status := t.begin(r, id)
	if status != 0 {
		t.rec.add("backend %s rejects %s: %d", t.id, id, status)
		h.Set(platformtest.NotRunHeader, "1")
		w.WriteHeader(status)
		return
	}
	t.rec.add("backend %s runs %s, key %d, fence %d, caller %s", t.id, id, x.key, x.fence, x.caller)
	if t.onRun != nil {
		t.onRun(t, x)
	}
	time.Sleep(t.work)
	t.end(x)
	h.Set(platformtest.StampHeader, "stamp-"+t.id)
	body := []byte("body of " + id)
	if t.answerBytes > 0 {
		body = bytes.Repeat([]byte("x"), t.answerBytes)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // the caller may have left
}

// begin takes a slot for a request. It returns a status if the request is rejected.
func (t *target) begin(r *http.Request, id string) (x *requestRun, status int) {
	key, err := strconv.ParseInt(r.Header.Get(platformtest.KeyHeader), 10, 64)
	if err != nil {
		key = -1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	x = &requestRun{id: id, caller: r.Header.Get(platformtest.CallerHeader), uri: r.RequestURI, key: key, at: time.Now()}
	if t.keyed {
		held := false
		for _, h := range t.holds {
			if h.from <= key && key <= h.to && x.at.Before(h.until) {
				held, x.fence = true, h.fence
			}
		}
		if !held {
			return nil, http.StatusMisdirectedRequest
		}
	}
	if t.running >= t.slots {
		return nil, http.StatusServiceUnavailable
	}
	t.running++
	if key >= 0 {
		t.working[key]++
	}
	return x, 0
}

func (t *target) end(x *requestRun) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if t.working[x.key]--; t.working[x.key] <= 0 {
		delete(t.working, x.key)
	}
}

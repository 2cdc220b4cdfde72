package sidecar

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/clock"
)

// activeTime is how long a connection may be active before it is closed for another one. It is
// above heartbeatTimeout, so that what takes longer is a request that does not end.
const activeTime = time.Second

// connLimiter keeps the connections of a server below a limit: if one more is opened, that is
// closed whose closing costs least. Connections that stay idle, or stop within a request, would
// keep heartbeats and readiness checks out until their time limits have passed.
type connLimiter struct {
	limit int

	mu    sync.Mutex
	conns map[net.Conn]connActivity
}

// connActivity is the state of a connection and since when it is in that state.
type connActivity struct {
	state fasthttp.ConnState
	since clock.Time
}

func newConnLimiter(limit int) *connLimiter {
	return &connLimiter{limit: limit, conns: make(map[net.Conn]connActivity)}
}

// stateChanged implements fasthttp.Server.ConnState.
func (l *connLimiter) stateChanged(c net.Conn, state fasthttp.ConnState) {
	now := clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == fasthttp.StateClosed || state == fasthttp.StateHijacked {
		delete(l.conns, c)
		return
	}
	if _, known := l.conns[c]; !known && state != fasthttp.StateNew {
		return // it is being closed for another one
	}
	if state == fasthttp.StateNew && len(l.conns) >= l.limit {
		if victim := l.victim(now); victim != nil {
			delete(l.conns, victim)
			_ = victim.Close() // its goroutine ends when it reads or writes
		}
	}
	l.conns[c] = connActivity{state: state, since: now}
}

// open returns the number of connections that are open.
func (l *connLimiter) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// victim returns the connection that is closed for another one: a new one if there are many,
// else one that is idle, or that has been active for too long. It returns nil if there is none.
// The caller holds the lock.
func (l *connLimiter) victim(now clock.Time) net.Conn {
	oldest := make(map[fasthttp.ConnState]net.Conn)
	count := make(map[fasthttp.ConnState]int)
	for c, a := range l.conns {
		count[a.state]++
		if o := oldest[a.state]; o == nil || a.since.Before(l.conns[o].since) {
			oldest[a.state] = c
		}
	}
	active := oldest[fasthttp.StateActive]
	switch {
	case count[fasthttp.StateNew] > l.limit/2:
		return oldest[fasthttp.StateNew]
	case oldest[fasthttp.StateIdle] != nil:
		return oldest[fasthttp.StateIdle]
	case active != nil && now.Sub(l.conns[active].since) >= activeTime:
		return active
	}
	return oldest[fasthttp.StateNew]
}

package sidecar

import (
	"net"
	"runtime"
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
	state  fasthttp.ConnState
	since  clock.Time
	served bool // at least one request
}

func newConnLimiter(limit int) *connLimiter {
	return &connLimiter{limit: limit, conns: make(map[net.Conn]connActivity)}
}

// stateChanged implements fasthttp.Server.ConnState.
func (l *connLimiter) stateChanged(c net.Conn, state fasthttp.ConnState) {
	if l.record(c, state, clock.Now()) {
		runtime.Gosched() // the server counts the connection until its goroutine has ended
	}
}

// record records a state. It reports whether it has closed another connection.
func (l *connLimiter) record(c net.Conn, state fasthttp.ConnState, now clock.Time) (closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == fasthttp.StateClosed || state == fasthttp.StateHijacked {
		delete(l.conns, c)
		return false
	}
	before, known := l.conns[c]
	if !known && state != fasthttp.StateNew {
		return false // it is being closed for another one
	}
	if state == fasthttp.StateNew && len(l.conns) >= l.limit {
		if victim := l.victim(now); victim != nil {
			delete(l.conns, victim)
			_ = victim.Close() // its goroutine ends when it reads or writes
			closed = true
		}
	}
	l.conns[c] = connActivity{state: state, since: now, served: before.served || state == fasthttp.StateIdle}
	return closed
}

// shareConns returns a handler that calls h. While there is no room for further connections, it
// closes each one after its response.
func (l *connLimiter) shareConns(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		runtime.Gosched() // a client that sends without a pause would take whole time slices
		h(ctx)
		if l.open() >= l.limit {
			ctx.SetConnectionClose()
		}
	}
}

// open returns the number of connections that are open.
func (l *connLimiter) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// victim returns the connection that is closed for another one: a new one if there are many,
// else one that is idle, that was served before, or that has been active for too long. It returns
// nil if there is none. The caller holds the lock.
func (l *connLimiter) victim(now clock.Time) net.Conn {
	const (
		isNew = iota
		isIdle
		isServed // active again
		isActive // for the first time
		classes
	)
	var oldest [classes]net.Conn
	newConns := 0
	for c, a := range l.conns {
		class := isActive
		switch {
		case a.state == fasthttp.StateNew:
			class = isNew
			newConns++
		case a.state == fasthttp.StateIdle:
			class = isIdle
		case a.served:
			class = isServed
		}
		if o := oldest[class]; o == nil || a.since.Before(l.conns[o].since) {
			oldest[class] = c
		}
	}
	active := oldest[isActive]
	switch {
	case newConns > l.limit/2:
		return oldest[isNew]
	case oldest[isIdle] != nil:
		return oldest[isIdle]
	case oldest[isServed] != nil:
		return oldest[isServed]
	case active != nil && now.Sub(l.conns[active].since) >= activeTime:
		return active
	}
	return oldest[isNew]
}

package callerhttp

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/connprobe"
	"github.com/parsleystack/parsleystack/recvlimit"
)

// shutdownPoll is the time between checks whether all connections have ended.
const shutdownPoll = 10 * time.Millisecond

// rejectTimeout bounds the write of the response to a connection that is not served.
const rejectTimeout = 100 * time.Millisecond

// Server serves callers.
type Server struct {
	config  Config
	handler Handler
	workers workers
	// draining is set once connections are closed after the last request that was begun.
	draining atomic.Bool
	large    sync.Pool // readers of Config.MaxHeader bytes

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*conn]struct{}
	maxConns  int        // 0 if there is no limit
	victims   []victim   // that were selected, the next one last
	scanAfter clock.Time // when victims may be selected again
	leaving   int        // connections that were closed for others and have not ended
	stats     ConnStats
	shutDown  bool

	left chan struct{} // signaled when a connection has ended that was closed for another one
}

// NewServer returns a server.
func NewServer(c Config, h Handler) *Server {
	s := &Server{config: c, handler: h, maxConns: c.MaxConns, conns: make(map[*conn]struct{}), left: make(chan struct{}, 1)}
	s.large.New = func() any { return bufio.NewReaderSize(nil, c.MaxHeader) }
	return s
}

// readers returns the pool of buffered readers of a size.
func (s *Server) readers(size int) *sync.Pool {
	if size <= chunkSize {
		return &smallReaders
	}
	return &s.large
}

// Serve accepts connections until the listener is closed, and returns the error of it, or nil
// if the server was shut down.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		if err != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.shutDown || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		if c := s.add(nc); c != nil {
			go c.serve()
		}
	}
}

// leavingShare is the share of Config.MaxConns, as a divisor, that is left to connections which
// are being closed for others and have not ended.
const leavingShare = 16

// leavingWait is how long a new connection waits for one to end that was closed for another.
const leavingWait = 100 * time.Millisecond

// add registers a connection, or refuses it and returns nil.
func (s *Server) add(nc net.Conn) *conn {
	memory := s.config.Memory.Open(recvlimit.Caller, nil)
	c := newConn(s, nc)
	c.memory = memory
	if memory.Grow(connCost) == nil && s.register(c) {
		return c
	}
	memory.Release()
	s.mu.Lock()
	s.stats.Refused++
	s.mu.Unlock()
	reject(nc)
	return nil
}

// register adds a connection to those that are served. If nearly all that may be open are,
// another one is closed for it; see selectVictims. It reports false if there is no room.
func (s *Server) register(c *conn) bool {
	s.displaceOne()
	var timeout <-chan time.Time
	for {
		added, leaving := s.tryRegister(c)
		if added || !leaving {
			return added
		}
		if timeout == nil {
			timer := time.NewTimer(leavingWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-s.left:
		case <-timeout:
			return false
		}
	}
}

// tryRegister adds a connection if there is room. If there is none, it reports whether others
// are about to end.
func (s *Server) tryRegister(c *conn) (added, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit := s.maxConns; s.shutDown || limit > 0 && len(s.conns) >= limit {
		return false, !s.shutDown && s.leaving > 0
	}
	s.conns[c] = struct{}{}
	return true, false
}

// displaceOne closes a connection if there is little room for a new one.
func (s *Server) displaceOne() {
	s.mu.Lock()
	var closed *conn
	if limit := s.maxConns; limit > 0 && len(s.conns)-s.leaving >= limit-max(limit/leavingShare, 1) {
		closed = s.takeVictim(clock.Fast())
	}
	s.mu.Unlock()
	if closed != nil {
		closed.evict()
	}
}

// takeVictim returns a connection that is to be closed for another one, or nil if there is none.
// The caller holds the lock.
func (s *Server) takeVictim(now clock.Time) *conn {
	for {
		for n := len(s.victims); n > 0; n = len(s.victims) {
			v := s.victims[n-1]
			s.victims[n-1] = victim{}
			s.victims = s.victims[:n-1]
			if s.displace(&v, now) {
				return v.conn
			}
		}
		if now.Before(s.scanAfter) {
			return nil
		}
		if s.victims = selectVictims(s.conns, now); len(s.victims) == 0 {
			s.scanAfter = now.Add(scanPause)
			return nil
		}
		s.scanAfter = now.Add(1) // once for each new connection
	}
}

// displace marks a connection as being closed. It reports false if it has ended or made
// progress since it was selected, or is about to. The caller holds the lock.
func (s *Server) displace(v *victim, now clock.Time) bool {
	c := v.conn
	if _, open := s.conns[c]; !open {
		return false
	}
	a, _ := unpack(v.word)
	switch {
	case a == busy && !isStalled(clock.Time(c.writing.Load()), now):
		return false
	case a >= fresh && a <= inBody && connprobe.Unread(c.nc): // it is about to make progress
		return false
	case !c.state.close(v.word):
		return false
	}
	s.leaving++
	s.stats.Closed[a]++
	return true
}

// reject answers a connection that is not served.
func reject(nc net.Conn) {
	const response = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	_ = nc.SetWriteDeadline(time.Now().Add(rejectTimeout)) // the write fails then, too
	_, _ = nc.Write([]byte(response))                      // the connection is closed all the same
	_ = nc.Close()
}

// remove unregisters a connection that has ended.
func (s *Server) remove(c *conn) {
	c.memory.Release()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.state.isDisplaced() {
		s.leaving--
		select {
		case s.left <- struct{}{}:
		default: // awaitRoom will look in any case
		}
	}
}

// ConnStats counts connections that were refused or closed for others.
type ConnStats struct {
	// Open is the number of connections that are open.
	Open int
	// Refused is the number of those that got 503 at once.
	Refused uint64
	// Closed is the number of those that were closed for others, by what they did.
	Closed [busy + 1]uint64
}

// ConnActivities are the names of what connections do, by the index in ConnStats.Closed.
func ConnActivities() []string { return activityNames[:displaced] }

// ConnStats returns the counts since the server was created.
func (s *Server) ConnStats() ConnStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Open = len(s.conns)
	return stats
}

// MaxConns returns the number of connections that are open at most, 0 if there is no limit.
func (s *Server) MaxConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxConns
}

// SetMaxConns replaces Config.MaxConns. Connections beyond a lower number are closed in the
// order of selectVictims; those with requests in progress stay.
func (s *Server) SetMaxConns(n int) {
	s.mu.Lock()
	s.maxConns = n
	var closed []*conn
	for n > 0 && len(s.conns)-s.leaving > n {
		c := s.takeVictim(clock.Fast())
		if c == nil {
			break
		}
		closed = append(closed, c)
	}
	s.mu.Unlock()
	for _, c := range closed {
		c.evict()
	}
}

// LargestCaller returns the caller that has the most connections, and their number. nameOf
// returns the name of the caller at an address.
func (s *Server) LargestCaller(nameOf func(net.Addr) string) (name string, conns int) {
	count := make(map[string]int)
	for _, c := range s.all() {
		caller := nameOf(c.nc.RemoteAddr())
		if count[caller]++; count[caller] > conns {
			name, conns = caller, count[caller]
		}
	}
	return name, conns
}

// Writing reports whether responses are being written.
func (s *Server) Writing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.writing.Load() != int64(clock.Never) {
			return true
		}
	}
	return false
}

// GetOpenConnectionsCount returns the number of connections that are open.
func (s *Server) GetOpenConnectionsCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Drain makes each connection close after the response to the last request that has been begun
// on it. Idle connections stay open until a further request has been answered.
func (s *Server) Drain() { s.draining.Store(true) }

// ShutdownWithContext closes the listeners and idle connections, and waits until the requests in
// progress have been answered. When ctx ends, it closes all connections and returns its error
// if requests are unanswered.
func (s *Server) ShutdownWithContext(ctx context.Context) error {
	s.Drain()
	s.mu.Lock()
	s.shutDown = true
	var errs []error
	for _, l := range s.listeners {
		if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			errs = append(errs, err)
		}
	}
	s.listeners = nil
	s.mu.Unlock()
	defer s.workers.stop()
	ticker := time.NewTicker(shutdownPoll)
	defer ticker.Stop()
	for {
		conns := s.all()
		if len(conns) == 0 {
			return errors.Join(errs...)
		}
		for _, c := range conns {
			c.shutDownIdle()
		}
		select {
		case <-ctx.Done():
			if unanswered := closeAll(s.all()); unanswered {
				errs = append(errs, ctx.Err())
			}
			return errors.Join(errs...)
		case <-ticker.C:
		}
	}
}

func (s *Server) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// closeAll closes connections. It reports whether requests on them are unanswered.
func closeAll(conns []*conn) (unanswered bool) {
	for _, c := range conns {
		c.mu.Lock()
		unanswered = unanswered || !c.wrote
		c.mu.Unlock()
		_ = c.nc.Close() // ends its goroutines
	}
	return unanswered
}

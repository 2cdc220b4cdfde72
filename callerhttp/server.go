package callerhttp

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

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
	fresh     list.List // connections on which no request was read completely, oldest first
	leaving   int       // connections that were closed for others and have not ended
	shutDown  bool
}

// NewServer returns a server.
func NewServer(c Config, h Handler) *Server {
	s := &Server{config: c, handler: h, conns: make(map[*conn]struct{})}
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

// leavingShare bounds the connections above Config.MaxConns that were closed for others and
// have not ended, as a divisor of it.
const leavingShare = 8

// add registers a connection, or refuses it and returns nil. If there are too many, it closes
// the oldest one on which no request was read: that is one that stopped within its first head,
// or never sent anything.
func (s *Server) add(nc net.Conn) *conn {
	memory := s.config.Memory.Open(recvlimit.Caller, nil)
	c := newConn(s, nc)
	c.memory = memory
	room := memory.Grow(connCost) == nil
	var closed *conn
	s.mu.Lock()
	if limit := s.config.MaxConns; limit > 0 && len(s.conns)-s.leaving >= limit {
		room = room && len(s.conns) < limit+limit/leavingShare
		if room {
			closed = s.takeFresh()
			room = closed != nil
		}
	}
	if room && !s.shutDown {
		s.conns[c] = struct{}{}
		c.fresh = s.fresh.PushBack(c)
	} else {
		c = nil
	}
	s.mu.Unlock()
	if closed != nil {
		closed.evict()
	}
	if c == nil {
		memory.Release()
		reject(nc)
	}
	return c
}

// takeFresh returns the oldest connection on which no request was read, which is to be closed.
// It returns nil if there is none that is old enough. The caller holds the lock.
func (s *Server) takeFresh() *conn {
	e := s.fresh.Front()
	if e == nil {
		return nil
	}
	c := e.Value.(*conn)
	if time.Since(c.accepted) < s.config.FreshTime {
		return nil
	}
	s.fresh.Remove(e)
	c.fresh, c.leaving = nil, true
	s.leaving++
	return c
}

// notFresh records that a request was read on a connection. It reports false if the connection
// is being closed for another one.
func (s *Server) notFresh(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.fresh != nil {
		s.fresh.Remove(c.fresh)
		c.fresh = nil
	}
	return !c.leaving
}

// closedForOther reports whether the connection is being closed for another one.
func (s *Server) closedForOther(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.leaving
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
	if c.fresh != nil {
		s.fresh.Remove(c.fresh)
		c.fresh = nil
	}
	if c.leaving {
		s.leaving--
	}
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

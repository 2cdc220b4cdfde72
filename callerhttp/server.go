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
)

// shutdownPoll is the time between checks whether all connections have ended.
const shutdownPoll = 10 * time.Millisecond

// Server serves callers.
type Server struct {
	config  Config
	handler Handler
	workers workers
	// draining is set once connections are closed after the last request that was begun.
	draining atomic.Bool
	large    sync.Pool // readers of Config.MaxHeader bytes

	mu          sync.Mutex
	listeners   []net.Listener
	conns       map[*conn]struct{}
	maxConns    int        // 0 if there is no limit
	victims     []victim   // that were selected, the next one last
	victimsLeft int        // number of these that are closed before others are selected
	scanAfter   clock.Time // when victims may be selected again
	leaving     int        // connections that were closed for others and have not ended
	stats       ConnStats
	shutDown    bool

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
		default: // register looks in any case
		}
	}
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

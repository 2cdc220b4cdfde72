package transport

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/wire"
)

// Server accepts connections of other daemons.
type Server struct {
	cfg     Config
	handler Handler
	log     *zap.Logger
	count   Counters
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	conns    map[*serverConn]struct{}
	raw      map[net.Conn]struct{} // connections before their handshake
	closed   bool
	draining bool
	closing  bool // the listener was closed by Shutdown
}

const shutdownPoll = 2 * time.Millisecond

// NewServer returns a server that is not listening yet. log may be nil.
func NewServer(cfg Config, handler Handler, log *zap.Logger) *Server {
	if log == nil {
		log = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		cfg: cfg.withDefaults(), handler: handler, log: log, ctx: ctx, cancel: cancel,
		conns: make(map[*serverConn]struct{}), raw: make(map[net.Conn]struct{}),
	}
}

// Counters returns the server's traffic counters.
func (s *Server) Counters() *Counters { return &s.count }

// Serve accepts connections until the listener fails or the server is closed,
// and returns ErrClosed in the latter case. It closes l.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.closed || s.closing {
		s.mu.Unlock()
		_ = l.Close()
		return ErrClosed
	}
	s.listener = l
	s.mu.Unlock()
	for {
		conn, err := l.Accept()
		if err != nil {
			if s.isClosed() {
				return ErrClosed
			}
			return err
		}
		s.accept(conn)
	}
}

func (s *Server) accept(conn net.Conn) {
	if s.cfg.TLS != nil {
		conn = tls.Server(conn, s.cfg.TLS)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return
	}
	s.raw[conn] = struct{}{}
	s.done.Go(func() { s.serveConn(conn) })
}

func (s *Server) serveConn(conn net.Conn) {
	reader, peer, err := serverHandshake(conn, &s.cfg)
	if err != nil {
		s.drop(conn, err)
		return
	}
	c := &serverConn{server: s, conn: conn, peer: peer, class: Class(peer.Class), reader: reader, exchanges: make(map[uint64]*Exchange)}
	c.writer = newWriter(conn, &s.cfg)
	limitSilence(conn)
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	if !s.track(c) {
		c.close()
		return
	}
	if err := c.run(); err != nil && !s.isClosed() {
		s.report(conn, err)
	}
	c.close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

func (s *Server) track(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.raw, c.conn)
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	if s.draining {
		c.goaway()
	}
	return true
}

// drop closes a connection whose handshake failed.
func (s *Server) drop(conn net.Conn, err error) {
	s.mu.Lock()
	delete(s.raw, conn)
	closed := s.closed
	s.mu.Unlock()
	if !closed {
		s.report(conn, err)
	}
	_ = conn.Close()
}

// report counts a protocol error before its connection is closed, so that the
// peer never sees the end of a connection that is not counted yet.
func (s *Server) report(conn net.Conn, err error) {
	s.count.BadConns.Add(1)
	logevent.Log(s.log, logevent.PeerConnClosed, zap.Stringer("peer", conn.RemoteAddr()), zap.Error(err))
}

// serve runs the request handler in a goroutine.
func (s *Server) serve(e *Exchange) {
	s.done.Add(1)
	go s.serveOne(e)
}

func (s *Server) serveOne(e *Exchange) {
	defer s.done.Done()
	s.handler.ServeRequest(e)
}

// Drain tells all peers to send no new request on their connections. Requests
// that arrive all the same are served; the handler refuses them.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.conns {
		if c.class != ClassControl {
			c.goaway()
		}
	}
}

// Shutdown drains the server and closes it when every peer has received its
// answers and closed its connections for requests, or when ctx ends. It
// returns the cause of ctx in that case.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.Close()
	s.Drain()
	s.mu.Lock()
	s.closing = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Unlock()
	ticker := time.NewTicker(shutdownPoll)
	defer ticker.Stop()
	for s.requestConns() > 0 {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
	return nil
}

// requestConns counts the connections that requests may still arrive on.
func (s *Server) requestConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.raw)
	for c := range s.conns {
		if c.class != ClassControl {
			n++
		}
	}
	return n
}

// Close closes the listener and all connections and waits for the handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for conn := range s.raw {
		_ = conn.Close()
	}
	for c := range s.conns {
		_ = c.conn.Close()
	}
	s.mu.Unlock()
	s.cancel()
	s.done.Wait()
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed || s.closing
}

// Hello returns the Hello that the server answers with.
func (s *Server) Hello() wire.Hello { return s.cfg.Hello }

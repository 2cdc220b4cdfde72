package transport

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/wire"
)

// Server accepts connections from other daemons and passes their frames to a
// Handler.
type Server struct {
	cfg      Config
	handler  Handler
	log      *zap.Logger
	counters Counters
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu           sync.Mutex
	listener     net.Listener
	conns        map[*serverConn]struct{}
	handshaking  map[net.Conn]time.Time // connections whose handshake is not complete, and since when
	closed       bool
	draining     bool
	shuttingDown bool // Shutdown was called and closes the listener
}

// shutdownPoll is how often Shutdown checks whether all request connections are
// closed.
const shutdownPoll = 2 * time.Millisecond

// NewServer returns a server that does not accept connections until Serve is
// called. log may be nil.
func NewServer(cfg Config, handler Handler, log *zap.Logger) *Server {
	if log == nil {
		log = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		cfg: cfg.withDefaults(), handler: handler, log: log, ctx: ctx, cancel: cancel,
		conns: make(map[*serverConn]struct{}), handshaking: make(map[net.Conn]time.Time),
	}
}

// Counters returns the server's traffic counters.
func (s *Server) Counters() *Counters { return &s.counters }

// Serve accepts connections from l until l fails or the server is closed or shut
// down. It returns ErrClosed in the latter case. Close and Shutdown close l; if
// they were called before, Serve closes it.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.closed || s.shuttingDown {
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
	full := s.cfg.MaxConns > 0 && len(s.conns)+len(s.handshaking) >= s.cfg.MaxConns
	if full || s.cfg.MaxHandshakes > 0 && len(s.handshaking) >= s.cfg.MaxHandshakes {
		s.counters.RefusedConns.Add(1)
		oldest := s.oldestHandshake()
		if oldest == nil {
			_ = conn.Close()
			return
		}
		delete(s.handshaking, oldest)
		_ = oldest.Close() // ends its handshake
	}
	s.handshaking[conn] = time.Now()
	s.wg.Go(func() { s.serveConn(conn) })
}

// oldestHandshake returns the connection whose handshake has begun first, or nil: daemons
// complete theirs at once, so it is likely of a client that sends none. The caller holds the lock.
func (s *Server) oldestHandshake() (oldest net.Conn) {
	var since time.Time
	for conn, begun := range s.handshaking {
		if oldest == nil || begun.Before(since) {
			oldest, since = conn, begun
		}
	}
	return oldest
}

func (s *Server) serveConn(conn net.Conn) {
	in := newDrainedConn(conn)
	reader, peer, err := serverHandshake(conn, in, &s.cfg)
	if err != nil {
		s.rejectConn(conn, err)
		return
	}
	c := &serverConn{server: s, conn: conn, peerHello: peer, class: Class(peer.Class), reader: reader, exchanges: make(map[uint64]*Exchange)}
	c.writer = newWriter(conn, c.class, &s.cfg)
	in.onDrained = c.startReceived
	setUserTimeout(conn)
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	if !s.track(c) {
		c.close()
		return
	}
	if err := c.run(); err != nil && !s.isClosed() {
		s.recordBadConn(conn, err)
	}
	c.close()
	c.startReceived() // canceled
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// track moves a connection from handshaking to conns. It returns false if the
// server is closed.
func (s *Server) track(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.handshaking, c.conn)
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	if s.draining {
		c.goaway()
	}
	return true
}

// rejectConn closes a connection whose handshake failed and records the error.
func (s *Server) rejectConn(conn net.Conn, err error) {
	s.mu.Lock()
	delete(s.handshaking, conn)
	closed := s.closed
	s.mu.Unlock()
	if !closed {
		s.recordBadConn(conn, err)
	}
	_ = conn.Close()
}

// recordBadConn counts and logs a protocol error. It is called before the
// connection is closed, so that the error is counted when the peer sees the
// connection close.
func (s *Server) recordBadConn(conn net.Conn, err error) {
	s.counters.BadConns.Add(1)
	logevent.Log(s.log, logevent.PeerConnClosed, zap.Stringer("peer", conn.RemoteAddr()), zap.Error(err))
}

// recordBadMessage counts and logs a message that could not be decoded.
func (s *Server) recordBadMessage(from ident.Node, err error) {
	s.counters.BadMessages.Add(1)
	logevent.Log(s.log, logevent.PeerMessageMalformed, zap.Stringer("daemon", from), zap.Error(err))
}

// Conns returns the number of connections that are open.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) + len(s.handshaking)
}

// startHandler runs the request handler in its own goroutine.
func (s *Server) startHandler(e *Exchange) {
	s.wg.Add(1)
	go s.runHandler(e)
}

func (s *Server) runHandler(e *Exchange) {
	defer s.wg.Done()
	s.handler.ServeRequest(e)
}

// Drain sends a goaway frame on all request and bulk connections, so that peers
// send no new requests on them. Requests that still arrive are passed to the
// handler, which is expected to refuse them.
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

// Shutdown drains the server and closes it when all peers have received their
// answers and closed their request and bulk connections. If ctx ends first, it
// closes the server and returns the cause of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.Close()
	s.Drain()
	s.mu.Lock()
	s.shuttingDown = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Unlock()
	ticker := time.NewTicker(shutdownPoll)
	defer ticker.Stop()
	for s.requestConnCount() > 0 {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
	return nil
}

// requestConnCount returns the number of connections on which requests may still
// arrive.
func (s *Server) requestConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.handshaking)
	for c := range s.conns {
		if c.class != ClassControl {
			n++
		}
	}
	return n
}

// Close closes the listener and all connections and waits for running handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for conn := range s.handshaking {
		_ = conn.Close()
	}
	for c := range s.conns {
		_ = c.conn.Close()
	}
	s.mu.Unlock()
	s.cancel()
	s.wg.Wait()
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed || s.shuttingDown
}

// Hello returns the Hello that the server sends to its peers.
func (s *Server) Hello() wire.Hello { return s.cfg.Hello }

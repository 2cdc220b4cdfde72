package transport

import (
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/wire"
)

// Messenger sends the one-way messages of package cell. Two daemons that exchange
// messages use one connection for both directions, so that the segment with the
// answer also carries the TCP acknowledgment of the message it answers. With a
// connection per direction each message costs one more segment.
type Messenger struct {
	self   ident.Node
	pool   *Pool
	server *Server
}

// NewMessenger returns a Messenger over the connections of pool and server.
// Messages that arrive on the pool's connections are passed to handler.
// NewMessenger must be called before the pool is used.
func NewMessenger(self ident.Node, pool *Pool, server *Server, handler Handler) *Messenger {
	pool.onCellMessage = handler.ServeCellMessage
	return &Messenger{self: self, pool: pool, server: server}
}

// Send sends a message to the daemon at addr. It does not block; the message
// may be lost. It returns false if the message was dropped immediately. If both
// daemons have dialed each other, both use the connection that was opened by the
// instance with the smaller name.
func (m *Messenger) Send(to ident.Node, addr string, body []byte) bool {
	if m.sendIfConnected(to, addr, body) {
		return true
	}
	return m.pool.Send(addr, body)
}

// sendIfConnected sends a message on a control connection that is already open,
// if there is one, and reports whether it did.
func (m *Messenger) sendIfConnected(to ident.Node, addr string, body []byte) bool {
	p := m.pool.peer(addr, ClassControl)
	if to.Instance < m.self.Instance {
		return m.server.sendIfConnected(to, body) || p.sendIfConnected(to, body)
	}
	return p.sendIfConnected(to, body) || m.server.sendIfConnected(to, body)
}

// sendIfConnected queues a one-way message on the control connection that the
// given process has opened, if there is one, and reports whether it did.
func (s *Server) sendIfConnected(to ident.Node, body []byte) bool {
	c := s.controlConn(to)
	if c == nil {
		return false
	}
	if _, err := c.writer.appendRaw(wire.KindCellMessage, 0, body); err != nil {
		return false
	}
	s.counters.FramesOut[ClassControl].Add(1)
	return true
}

func (s *Server) controlConn(node ident.Node) *serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.class == ClassControl && c.peerHello.Node == node && c.ctx.Err() == nil {
			return c
		}
	}
	return nil
}

package transport

import (
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/wire"
)

// Messenger sends the one-way messages of the ownership core. Two daemons that
// talk to each other use one connection for both directions, so that an answer
// carries the acknowledgment of its question: on a connection per direction
// each message costs a segment more.
type Messenger struct {
	self   ident.Node
	pool   *Pool
	server *Server
}

// NewMessenger returns a Messenger over the connections of pool and server.
// Messages that come back on the pool's connections go to handler. It must be
// called before the pool is used.
func NewMessenger(self ident.Node, pool *Pool, server *Server, handler Handler) *Messenger {
	pool.message = handler.ServeCellMessage
	return &Messenger{self: self, pool: pool, server: server}
}

// Send sends a message to the daemon at addr. It does not block; the message
// may be lost. If the two daemons have dialed each other, both use the
// connection that the one with the smaller name has opened.
func (m *Messenger) Send(to ident.Node, addr string, body []byte) bool {
	if m.sendOpen(to, addr, body) {
		return true
	}
	return m.pool.Send(addr, body)
}

func (m *Messenger) sendOpen(to ident.Node, addr string, body []byte) bool {
	p := m.pool.peer(addr, ClassControl)
	if to.Instance < m.self.Instance {
		return m.server.sendOpen(to, body) || p.sendOpen(to, body)
	}
	return p.sendOpen(to, body) || m.server.sendOpen(to, body)
}

// sendOpen writes a one-way message on the control connection that the process
// has opened, if there is one.
func (s *Server) sendOpen(to ident.Node, body []byte) bool {
	c := s.controlConn(to)
	if c == nil {
		return false
	}
	if _, err := c.writer.raw(wire.KindCellMessage, 0, body); err != nil {
		return false
	}
	s.count.FramesOut[ClassControl].Add(1)
	return true
}

func (s *Server) controlConn(node ident.Node) *serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.class == ClassControl && c.peer.Node == node && c.ctx.Err() == nil {
			return c
		}
	}
	return nil
}

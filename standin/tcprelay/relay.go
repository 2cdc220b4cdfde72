// Package tcprelay relays TCP connections and injects the faults of a network and
// of a peer that are visible on them: open connections that go silent without a
// reset, connections that are accepted and never served, and resets.
package tcprelay

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

const copyBufferSize = 32 << 10 // bytes

// Direction selects the data that a fault concerns.
type Direction int

const (
	ToServer Direction = 1 << iota
	ToClient
	Both = ToServer | ToClient
)

// Relay accepts connections at Addr and relays them to one server. It is safe for
// concurrent use.
type Relay struct {
	listener net.Listener
	server   string

	mu       sync.Mutex
	links    map[*link]struct{}
	newLinks Direction // directions in which new connections are silent
	closed   bool
}

// link is one relayed connection.
type link struct {
	client, server net.Conn
	silent         atomic.Int32 // Direction in which data is discarded
}

// Listen opens a relay to server at addr; port 0 selects a free port.
func Listen(addr, server string) (*Relay, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, server: server, links: make(map[*link]struct{})}
	go r.accept()
	return r, nil
}

// Addr returns the address that clients connect to.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Silence discards all further data of the open connections in a direction. They
// stay open, and new connections are relayed.
func (r *Relay) Silence(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.silence(d)
	}
}

// SilenceNew makes new connections silent in a direction from the start. Zero ends
// this for connections accepted later.
func (r *Relay) SilenceNew(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newLinks = d
}

// Reset closes all open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.close()
	}
}

// Close closes the relay and all its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.Reset()
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go r.relay(client)
		}
	}
}

func (r *Relay) relay(client net.Conn) {
	server, err := net.Dial("tcp", r.server)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{client: client, server: server}
	defer l.close()
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	l.silence(r.newLinks)
	r.links[l] = struct{}{}
	r.mu.Unlock()
	go l.copy(server, client, ToServer)
	l.copy(client, server, ToClient)
	r.mu.Lock()
	delete(r.links, l)
	r.mu.Unlock()
}

func (l *link) silence(d Direction) { l.silent.Or(int32(d)) }

// copy relays data until either end closes. A close is hidden from the other end
// while the direction is silent.
func (l *link) copy(dst, src net.Conn, d Direction) {
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := src.Read(buffer)
		silent := Direction(l.silent.Load())&d != 0
		if n > 0 && !silent {
			if _, err := dst.Write(buffer[:n]); err != nil {
				l.close()
				return
			}
		}
		if err != nil {
			l.close()
			return
		}
	}
}

func (l *link) close() {
	_ = l.client.Close()
	_ = l.server.Close()
}

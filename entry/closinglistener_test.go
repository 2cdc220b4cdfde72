package entry_test

import (
	"net"
	"sync"
)

// closingListener is a net.Listener that can close all connections that it has
// accepted.
type closingListener struct {
	net.Listener

	mu    sync.Mutex
	conns []net.Conn
}

func (l *closingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
	return conn, nil
}

func (l *closingListener) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
	l.conns = nil
}

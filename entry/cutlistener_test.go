package entry_test

import (
	"net"
	"sync"
)

// cutListener can close the connections that it has accepted.
type cutListener struct {
	net.Listener

	mu    sync.Mutex
	conns []net.Conn
}

func (l *cutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
	return conn, nil
}

func (l *cutListener) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
	l.conns = nil
}

// Package connprobe checks whether the peer has closed a connection, without
// consuming data from it.
package connprobe

import (
	"crypto/tls"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// PeerClosed reports whether the peer has closed or reset the connection. A
// close is not detected while data before it is still unread. Connections
// without a file descriptor always count as open.
func PeerClosed(conn net.Conn) bool {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
	})
	return closed || err != nil
}

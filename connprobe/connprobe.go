// Package connprobe tells whether the other end of a connection has closed it,
// without reading what it sent.
package connprobe

import (
	"crypto/tls"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// PeerClosed reports whether the other end has closed or reset the connection.
// While sent bytes wait to be read, a close behind them is not seen. Connections
// without a file descriptor never count as left.
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
	left := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		left = err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
	})
	return left || err != nil
}

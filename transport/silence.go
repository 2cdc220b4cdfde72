package transport

import (
	"crypto/tls"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxSilence is the time for which data on a connection may stay
// unacknowledged. The connection is closed after it and a new one is dialed:
// after a partition a retransmission would come far later than a new
// handshake, and a connection that has gone silent for good shows only so.
const maxSilence = 1500 * time.Millisecond

// limitSilence sets the time after which the kernel gives up an unreachable
// peer.
func limitSilence(conn net.Conn) {
	withSocket(conn, func(fd int) {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(maxSilence.Milliseconds()))
	})
}

// withSocket calls f with the file descriptor of a TCP connection, with or
// without TLS. It does nothing for other connections.
func withSocket(conn net.Conn, f func(fd int)) {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return
	}
	_ = control.Control(func(fd uintptr) { f(int(fd)) })
}

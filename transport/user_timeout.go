package transport

import (
	"crypto/tls"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout is the time that sent data may stay unacknowledged before the
// kernel closes the connection, so that a new one is dialed. After a partition
// the next retransmission would come much later than a new handshake, and no
// other check detects a connection whose peer never responds again.
const tcpUserTimeout = 1500 * time.Millisecond

// setUserTimeout sets TCP_USER_TIMEOUT on a TCP connection.
func setUserTimeout(conn net.Conn) {
	withSocket(conn, func(fd int) {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
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

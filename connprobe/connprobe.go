// Package connprobe asks the kernel about a connection, without consuming data from it: whether the
// peer has closed it, and whether the peer has taken what was written to it.
package connprobe

import (
	"crypto/tls"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// PeerClosed reports whether the peer has closed or reset the connection, also while data
// before the close is still unread. Connections without a file descriptor always count as
// open.
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
		closed = err == nil && n == 0 || errors.Is(err, unix.ECONNRESET) || err == nil && n > 0 && hungUp(fd)
	})
	return closed || err != nil
}

// hungUp reports whether the peer has closed its sending direction, whether the data before
// that was read or not.
func hungUp(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP) != 0
}

package connprobe

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unread reports whether bytes of the peer have arrived that were not read. It returns
// false for connections without a file descriptor.
func Unread(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread && err == nil
}

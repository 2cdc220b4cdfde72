package connprobe

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SinceReceived returns the time since the newest data of the peer arrived on a TCP
// connection, whether it was read or not, in steps of a few milliseconds. It reports false if
// the kernel does not tell.
func SinceReceived(conn net.Conn) (time.Duration, bool) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	var since time.Duration
	known := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			since, known = time.Duration(info.Last_data_recv)*time.Millisecond, true
		}
	})
	return since, known && err == nil
}

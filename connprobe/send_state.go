package connprobe

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// SendState is what the kernel knows of the bytes that were written to a TCP connection.
type SendState struct {
	Closed  bool   // both directions have ended: after a reset or a time-out, if the process has not closed it
	Acked   uint64 // bytes that the peer has acknowledged, and one for the opening
	Unacked int    // bytes that were written and that it has not acknowledged
	Window  int    // bytes that it has room for; 0 also if the kernel does not tell
}

const tcpClose = 7 // TCP_CLOSE among the values of TCPInfo.State

// Window returns the bytes that the peer has room for, or 0 if the kernel does not tell.
func Window(conn net.Conn) int {
	window := 0
	withInfo(conn, func(_ int, info *unix.TCPInfo) { window = int(info.Snd_wnd) })
	return window
}

// Sent returns the state of a connection. It reports false if the kernel does not tell.
func Sent(conn net.Conn) (s SendState, known bool) {
	withInfo(conn, func(fd int, info *unix.TCPInfo) {
		unacked, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		if err != nil {
			return
		}
		s, known = SendState{Closed: info.State == tcpClose, Acked: info.Bytes_acked, Unacked: unacked, Window: int(info.Snd_wnd)}, true
	})
	return s, known
}

// withInfo calls f with what the kernel tells of a TCP connection, if it does.
func withInfo(conn net.Conn, f func(fd int, info *unix.TCPInfo)) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { // fails if the connection is closed, of which nothing is known then
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.State != 0 {
			f(int(fd), info)
		}
	})
}

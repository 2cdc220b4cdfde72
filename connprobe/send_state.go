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

// Sent returns the state of a connection. It reports false if the kernel does not tell.
func Sent(conn net.Conn) (SendState, bool) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return SendState{}, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return SendState{}, false
	}
	var s SendState
	known := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil || info.State == 0 {
			return
		}
		unacked, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if err != nil {
			return
		}
		s, known = SendState{Closed: info.State == tcpClose, Acked: info.Bytes_acked, Unacked: unacked, Window: int(info.Snd_wnd)}, true
	})
	return s, known && err == nil
}

package listen

import (
	"fmt"
	"net"
	"syscall"
)

// Limits bound what the kernel holds for the connections of a listener.
type Limits struct {
	// ReceiveBuffer is the size in bytes of the receive buffer of each connection, those that
	// wait to be accepted included. The kernel holds up to twice as much.
	ReceiveBuffer int
	// Backlog is the number of connections that wait to be accepted.
	Backlog int
}

// Apply sets the limits for the connections that arrive at l from then on. Fields of 0 change
// nothing. It does nothing for a listener that is not a TCP one.
func (s Limits) Apply(l net.Listener) error {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return fmt.Errorf("limit what %s receives: %w", l.Addr(), err)
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = s.applyTo(int(fd)) })
	if err == nil {
		err = failed
	}
	if err != nil {
		return fmt.Errorf("limit what %s receives: %w", l.Addr(), err)
	}
	return nil
}

func (s Limits) applyTo(fd int) error {
	if s.ReceiveBuffer > 0 {
		if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, s.ReceiveBuffer); err != nil {
			return err
		}
	}
	if s.Backlog > 0 {
		return syscall.Listen(fd, s.Backlog) // a socket that listens already takes the new backlog
	}
	return nil
}

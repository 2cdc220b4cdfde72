package connprobe

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

const (
	// smallRequest is the size in bytes of a request that is sent at once. Behind one that the peer
	// has acknowledged, no reset is waited for.
	smallRequest = 8 << 10
	// resetGrace is how long a reset is waited for after the last byte was acknowledged. The kernel
	// of the peer acknowledges bytes before the peer reads them, and resets the connection if the peer
	// closes it without having read them.
	resetGrace = 50 * time.Millisecond
	// maxStall is how long a peer may take no byte of a request after it has ended its response.
	maxStall = time.Second
	// takenPoll is the time between two checks of the connection.
	takenPoll = time.Millisecond
)

// ErrReset reports that the peer has reset the connection after it had ended its direction.
var ErrReset = fmt.Errorf("connprobe: the peer has reset the connection behind the end of its response: %w", syscall.ECONNRESET)

// StallError reports a peer that has ended its direction and does not read what it is sent.
type StallError struct {
	Unacked int // bytes of the request that were written and that it has not acknowledged
}

func (e *StallError) Error() string {
	return fmt.Sprintf("connprobe: the peer has ended its response and has read nothing of the request for %v, of which it has not acknowledged %d bytes", maxStall, e.Unacked)
}

// Upload is a request on a connection whose peer may respond before it has read all of it.
type Upload struct {
	Conn net.Conn
	Size int // bytes
	// Window is that of SendState when the connection was opened. A peer that has less room holds
	// bytes that it has not read.
	Window int
	// Written yields the error of the write, which may be in progress, and holds it until it is
	// received. If it is nil, the write has ended without one.
	Written <-chan error

	ended bool // the write has, without an error
}

// AwaitTaken waits, after the peer has ended its direction, until it has taken the whole request. If it
// has done so before, AwaitTaken does not wait.
//
// The end of a direction does not tell whether the peer meant it: the kernel also sends one for a
// process that closes the connection or dies, and resets the connection once more bytes of the request
// arrive. So a response that ends so is whole only if they are taken. AwaitTaken returns nil once the
// write has ended, its bytes are acknowledged, and resetGrace has passed since. It returns the error of
// the write, ErrReset, a *StallError, or the error of a read, such as one for the deadline of the
// connection.
func (u *Upload) AwaitTaken() error {
	if err := u.checkWritten(); err != nil || u.isTaken() {
		return err
	}
	poll := time.NewTicker(takenPoll)
	defer poll.Stop()
	var (
		last     SendState
		now      = time.Now()
		progress = now // when the connection was last seen in another state
		pending  = now // when bytes were last not acknowledged
	)
	for ; ; <-poll.C {
		now = time.Now()
		if err := u.checkWritten(); err != nil {
			return err
		}
		if err := checkEnded(u.Conn); err != nil {
			return err
		}
		s, _ := Sent(u.Conn)
		if s.Closed {
			return ErrReset
		}
		if s != last {
			last, progress = s, now
		}
		switch {
		case s.Unacked > 0 && now.Sub(progress) > maxStall:
			return &StallError{Unacked: s.Unacked}
		case s.Unacked > 0 || !u.ended:
			pending = now
		case now.Sub(pending) >= resetGrace:
			return nil
		}
	}
}

// checkWritten returns the error of the write if it has failed.
func (u *Upload) checkWritten() error {
	if u.Written == nil {
		u.ended = true
	}
	if u.ended {
		return nil
	}
	select {
	case err := <-u.Written:
		u.ended = err == nil
		return err
	default:
		return nil
	}
}

// isTaken reports whether the peer had taken the whole request when it ended its direction. A later
// reset does not cut off the response. One that has come already does, if the request was large enough
// for the peer to have read only a part.
func (u *Upload) isTaken() bool {
	s, _ := Sent(u.Conn)
	if u.Size <= smallRequest {
		return s.Unacked == 0
	}
	return u.ended && s.Unacked == 0 && s.Window >= u.Window && !s.Closed
}

// checkEnded returns the error of a read of conn, of which the end was read before, unless it is the
// end.
func checkEnded(conn net.Conn) error {
	var b [1]byte
	switch _, err := conn.Read(b[:]); {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	}
	return errors.New("connprobe: bytes behind the end of a connection")
}

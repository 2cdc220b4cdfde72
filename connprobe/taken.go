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
	// minPoll and maxPoll are the times between two checks of the connection, of which each is twice
	// as long as the one before.
	minPoll = time.Millisecond
	maxPoll = 16 * time.Millisecond
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

// Upload follows the requests on a connection whose peer may respond before it has read all of one.
type Upload struct {
	conn net.Conn
	size int // bytes of the request
	// window is what the peer had room for before the request was written. A peer that has less room
	// afterwards holds bytes that it has not read.
	window int
	// reused is set if an earlier request was not small. The room of the peer has grown then, and may
	// be larger than what it has stated last, so that window tells nothing.
	reused bool
}

// NewUpload returns the state of a connection on which no request was sent.
func NewUpload(conn net.Conn) Upload { return Upload{conn: conn} }

// Begin starts the next request.
func (u *Upload) Begin() {
	u.reused = u.reused || u.size > smallRequest
	u.size = 0
}

// Add adds bytes to the request, which are about to be written.
func (u *Upload) Add(bytes int) {
	if !u.reused && u.size <= smallRequest && u.size+bytes > smallRequest {
		u.window = Window(u.conn)
	}
	u.size += bytes
}

// AwaitTaken waits, after the peer has ended its direction, until it has taken the whole request. If it
// has done so before, AwaitTaken does not wait. written yields the error of the write, which may be in
// progress; it is nil if the write has ended without one.
//
// The end of a direction does not tell whether the peer meant it: the kernel also sends one for a
// process that closes the connection or dies, and resets the connection once more bytes of the request
// arrive. So a response that ends so is whole only if they are taken. AwaitTaken returns nil once the
// write has ended, its bytes are acknowledged, and resetGrace has passed since. It returns the error of
// the write, ErrReset, a *StallError, or the error of a read, such as one for the deadline of the
// connection.
func (u *Upload) AwaitTaken(written <-chan error) error {
	ended, err := hasEnded(written)
	if err != nil || ended && u.isTaken() {
		return err
	}
	var (
		last     SendState
		progress = time.Now() // when the connection was last seen in another state
		pending  = progress   // when bytes were last not acknowledged
	)
	for poll := minPoll; ; poll = min(2*poll, maxPoll) {
		if !ended {
			if ended, err = hasEnded(written); err != nil {
				return err
			}
		}
		if err := checkEnded(u.conn); err != nil {
			return err
		}
		now := time.Now()
		s, _ := Sent(u.conn)
		if s.Closed {
			return ErrReset
		}
		if s != last {
			last, progress = s, now
		}
		switch {
		case s.Unacked > 0 && now.Sub(progress) > maxStall:
			return &StallError{Unacked: s.Unacked}
		case s.Unacked > 0 || !ended:
			pending = now
		case now.Sub(pending) >= resetGrace:
			return nil
		}
		time.Sleep(poll)
	}
}

// hasEnded reports whether a write has ended, and its error. A nil channel is that of a write that has.
func hasEnded(written <-chan error) (bool, error) {
	if written == nil {
		return true, nil
	}
	select {
	case err := <-written:
		return true, err
	default:
		return false, nil
	}
}

// isTaken reports whether the peer had taken the whole request when it ended its direction. A later
// reset does not cut off the response. One that has come already does, if the request was large enough
// for the peer to have read only a part.
func (u *Upload) isTaken() bool {
	s, _ := Sent(u.conn)
	if u.size <= smallRequest {
		return s.Unacked == 0
	}
	return !u.reused && s.Unacked == 0 && s.Window >= u.window && !s.Closed
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

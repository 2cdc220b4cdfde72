package listen

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// failingListener is a listener whose Accept returns errors before the first connection.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		c, _ := net.Pipe()
		return c, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// An error of accept for lack of descriptors ended the server, and with it the process.
func TestAcceptOutlivesLackOfDescriptors(t *testing.T) {
	failed := func(errno syscall.Errno) error {
		return &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
	}
	reported := 0
	l := Tolerant(&failingListener{errs: []error{failed(syscall.EMFILE), failed(syscall.ENFILE), failed(syscall.ECONNABORTED)}}, func(error) { reported++ })
	if c, err := l.Accept(); c == nil || err != nil || reported != 3 {
		t.Errorf("got %v, %v after %d reports, want a connection after 3", c, err, reported)
	}
	for _, err := range []error{net.ErrClosed, failed(syscall.EBADF)} {
		l := Tolerant(&failingListener{errs: []error{err}}, func(error) { t.Errorf("%v was reported", err) })
		if _, got := l.Accept(); !errors.Is(got, err) {
			t.Errorf("got %v, want %v", got, err)
		}
	}
}

package listen

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// minAcceptPause and maxAcceptPause bound the pause after an error of accept.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 250 * time.Millisecond
)

// tolerantListener is a net.Listener whose Accept outlives errors that pass.
type tolerantListener struct {
	net.Listener
	report func(error)
}

// Tolerant returns a listener whose Accept tries again after errors that do not concern the
// listener itself, such as a lack of descriptors. A server that ended at one of these would
// break off all requests in progress for the sake of one connection. report is called for each
// error.
func Tolerant(l net.Listener, report func(error)) net.Listener {
	return &tolerantListener{Listener: l, report: report}
}

// Accept implements net.Listener.
func (l *tolerantListener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		c, err := l.Listener.Accept()
		if err == nil || !passes(err) {
			return c, err
		}
		l.report(err)
		time.Sleep(pause)
	}
}

// passes reports whether an error of accept can pass while the listener stays open.
func passes(err error) bool {
	for _, temporary := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.EINTR} {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}

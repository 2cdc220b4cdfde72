// Package listen opens the TCP listeners of a process, either all or none of them.
package listen

import (
	"errors"
	"fmt"
	"net"
)

// All listens on TCP addresses and returns the listeners in the same order. If one
// fails, the others are closed again: otherwise a caller could connect and wait for a
// response of a process that is about to exit.
func All(addrs ...string) ([]net.Listener, error) {
	open := make([]net.Listener, 0, len(addrs))
	for _, addr := range addrs {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			err = fmt.Errorf("can't listen on %s: %w; check that no other process uses the port and that the address belongs to the instance", addr, err)
			return nil, errors.Join(err, Close(open))
		}
		open = append(open, l)
	}
	return open, nil
}

// Close closes listeners and returns the joined errors. A listener that is already
// closed is not an error.
func Close(listeners []net.Listener) error {
	var errs []error
	for _, l := range listeners {
		if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// Package listen opens the addresses that a process serves, all or none.
package listen

import (
	"errors"
	"fmt"
	"net"
)

// All opens TCP addresses and returns their listeners in the same order. If one
// can't be opened, none stays open: a caller that connected would wait for an
// answer of a process that ends.
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

// Close closes listeners. One that is closed already is no error.
func Close(listeners []net.Listener) error {
	var errs []error
	for _, l := range listeners {
		if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

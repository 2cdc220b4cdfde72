// Package sidecar is the daemon that runs beside one target on the users'
// platform. It connects the decision packages (fleet, ownertable, placement,
// resend, workqueue) to sockets, the store and clocks.
//
// One goroutine, the control goroutine, owns the daemon's state of the fleet and
// of key ownership. It publishes immutable views, which request goroutines read
// without locks.
package sidecar

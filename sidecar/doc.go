// Package sidecar is the daemon that runs beside one target on the users'
// platform. It joins the decision parts (fleet, ownertable, placement, resend,
// workqueue) to sockets, the store and clocks.
//
// One goroutine, that of control, owns what the daemon believes of the fleet
// and of the keys. It publishes immutable views that the goroutines of requests
// read without locks.
package sidecar

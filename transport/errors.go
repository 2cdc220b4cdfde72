package transport

import (
	"errors"
	"fmt"
)

var (
	// ErrClosed reports use of a closed Pool or Server.
	ErrClosed = errors.New("transport: closed; create a new one")
	// ErrBacklog reports that the write queue of a connection is full.
	ErrBacklog = errors.New("transport: write queue to the peer is full; retry when the peer has caught up")
	// ErrGoaway reports that the connection accepts no new requests.
	ErrGoaway = errors.New("transport: peer is draining; refresh the route and send to the new owner")
)

// PeerError reports that a peer could not be reached or that its connection
// was lost.
type PeerError struct {
	Addr string
	Err  error
}

func (e *PeerError) Error() string {
	return fmt.Sprintf("transport: peer %s: %v; refresh the route, or check that its daemon is running and reachable", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Err }

// CallError reports that the peer's call handler returned an error.
type CallError struct {
	Addr    string
	Message string // text of the handler's error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("transport: call to %s: %s", e.Addr, e.Message)
}

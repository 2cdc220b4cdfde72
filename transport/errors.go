package transport

import (
	"errors"
	"fmt"
)

var (
	// ErrClosed reports use of a closed Pool or Server.
	ErrClosed = errors.New("transport: closed; create a new one")
	// ErrBacklog reports that too many bytes wait to be written to a peer.
	ErrBacklog = errors.New("transport: too many bytes wait for the peer; retry when it has caught up")
	// ErrGoaway reports that the peer takes no new requests.
	ErrGoaway = errors.New("transport: peer is draining; refresh the route and send to the new owner")
)

// PeerError reports that a peer could not be reached or that its connection
// was lost.
type PeerError struct {
	Addr string
	Err  error
}

func (e *PeerError) Error() string {
	return fmt.Sprintf("transport: peer %s: %v; refresh the route, or check that its daemon runs and is reachable", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Err }

// CallError is the error text that a peer's call handler returned.
type CallError struct {
	Addr    string
	Message string
}

func (e *CallError) Error() string {
	return fmt.Sprintf("transport: call to %s: %s", e.Addr, e.Message)
}

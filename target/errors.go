package target

import (
	"errors"
	"fmt"
)

var (
	// ErrNoConn reports that all connections are in use.
	ErrNoConn = errors.New("target: all connections are in use; retry when a request has ended or raise the service's connections")
	// ErrCanceled reports that the call was canceled.
	ErrCanceled = errors.New("target: call canceled by the caller")
	// ErrUnframed reports an answer whose end is not marked, so that a torn one
	// could not be told from a whole one.
	ErrUnframed = errors.New("target: answer has neither a length nor chunks; let the target send Content-Length")
	// ErrForeign reports answers to other requests only.
	ErrForeign = errors.New("target: answers belong to other requests; check the target")
	// ErrInterim reports an answer of interim responses only.
	ErrInterim = errors.New("target: too many interim responses; check the target")
	// ErrClosed reports use of a closed client.
	ErrClosed = errors.New("target: client is closed; create a new one")
)

// OrderError reports an order that the target did not accept.
type OrderError struct {
	Path   string
	Status int
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("target: %s answered with status %d; check that the target speaks the target protocol", e.Path, e.Status)
}

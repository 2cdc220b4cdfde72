package target

import (
	"errors"
	"fmt"
)

var (
	// ErrNoConn reports that all connections are in use.
	ErrNoConn = errors.New("target: all connections are in use; retry when a request has finished or raise the number of connections of the service")
	// ErrCanceled reports that the call was canceled.
	ErrCanceled = errors.New("target: call canceled by the caller")
	// ErrCloseDelimited reports a response with neither Content-Length nor chunked
	// encoding, whose truncation could not be detected.
	ErrCloseDelimited = errors.New("target: response has neither Content-Length nor chunked encoding; let the target send Content-Length")
	// ErrUnmatched reports that only responses to other requests were received.
	ErrUnmatched = errors.New("target: responses belong to other requests; check the target")
	// ErrTooManyInterim reports that a response has too many interim (1xx)
	// responses before it.
	ErrTooManyInterim = errors.New("target: too many interim responses; check the target")
	// ErrTooMuchFraming reports a body in very many small chunks.
	ErrTooMuchFraming = errors.New("target: the framing of the chunks of a response is far larger than its body; let the target send larger chunks")
	// ErrClosed reports use of a closed client.
	ErrClosed = errors.New("target: client is closed; create a new one")
)

// ControlError reports a control request that the target did not accept.
type ControlError struct {
	Path   string
	Status int
}

func (e *ControlError) Error() string {
	return fmt.Sprintf("target: control request %s was answered with status %d; check that the target implements the target protocol", e.Path, e.Status)
}

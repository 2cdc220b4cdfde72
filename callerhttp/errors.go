package callerhttp

import (
	"errors"
	"fmt"
	"strings"
)

var (
	errTooMuchOverhead = errors.New("the extensions of the chunks exceed their limit")
	errChunkSize       = errors.New("the size of a chunk is malformed")
	errChunkEnd        = errors.New("a chunk does not end with CRLF")
	errInvalidHost     = errors.New("the host or the authority of the request target is malformed")
)

// ReadError is an error of reading a request. Its message has no bytes of the request.
type ReadError struct {
	Part string // of the request
	Err  error
}

func (e *ReadError) Error() string {
	// fasthttp appends the bytes that it could not parse.
	message, _, _ := strings.Cut(e.Err.Error(), ", contents: ")
	return fmt.Sprintf("read the %s of a request: %s", e.Part, message)
}

func (e *ReadError) Unwrap() error { return e.Err }

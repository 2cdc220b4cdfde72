package callerhttp

import (
	"errors"
	"fmt"
	"strings"

	"github.com/parsleystack/parsleystack/httphead"
)

var (
	errTooMuchOverhead = errors.New("the extensions of the chunks exceed their limit")
	errChunkSize       = errors.New("the size of a chunk is malformed")
	errChunkEnd        = errors.New("a chunk does not end with CRLF")
	errInvalidHost     = errors.New("the host or the authority of the request target is malformed")
)

// Values of ReadError.Part.
const (
	partFirstByte = "first byte"
	partHead      = "head"
	partTarget    = "target"
	partBody      = "body"
)

// ReadError is an error of reading a request. Its message has no bytes of the request.
type ReadError struct {
	Part string // of the request
	Err  error
}

func (e *ReadError) Error() string {
	message := e.Err.Error()
	var line *httphead.LineError
	if errors.As(e.Err, &line) {
		message = fmt.Sprintf("line %d of the %s: %s", line.Line, line.Part, line.Fault)
	}
	// fasthttp appends the bytes that it could not parse.
	message, _, _ = strings.Cut(message, ", contents: ")
	return fmt.Sprintf("read the %s of a request: %s", e.Part, message)
}

// HeadComplete reports whether the head was read, so that the response can name the request.
func (e *ReadError) HeadComplete() bool { return e.Part == partTarget || e.Part == partBody }

func (e *ReadError) Unwrap() error { return e.Err }

// ConnLimitError reports a connection that was closed for another one within a request.
type ConnLimitError struct {
	Limit int // connections
}

func (e *ConnLimitError) Error() string {
	return fmt.Sprintf("the connection was closed for another one, since nearly %d are open; check who opens connections and does not complete requests", e.Limit)
}

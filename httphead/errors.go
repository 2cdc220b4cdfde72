package httphead

import (
	"bufio"
	"errors"
	"fmt"
)

// maxShown is the largest number of received bytes that an error shows.
const maxShown = 64

// ErrSurplus reports a call on a connection on which the server has sent bytes that belong to no
// call. Nothing of the call was sent.
var ErrSurplus = errors.New("httphead: the server sent bytes that belong to no call; correct the server")

// ErrOtherEnd reports a head or trailer that was validated and that the parser ends at another byte.
// What follows would be taken for a part of another message.
var ErrOtherEnd = errors.New("httphead: the parser and the validation end a head or trailer at different bytes; correct the sender and report its bytes")

// errChunkSize reports a chunk whose size can't be read.
var errChunkSize = errors.New("httphead: the size of a chunk is malformed; correct the sender")

// Part is a part of a message.
type Part string

// Values of Part.
const (
	PartHead    Part = "head"
	PartTrailer Part = "trailer"
)

// LineError reports a line of a head or trailer that the grammar of HTTP/1 excludes.
type LineError struct {
	Part  Part
	Line  int    // its number in the part, from 1; empty lines before a first line count
	Name  string // what precedes the colon, or the whole line if it has none, shortened
	Fault string
}

func (e *LineError) Error() string {
	return fmt.Sprintf("httphead: line %d of the %s, %q: %s; correct the sender", e.Line, e.Part, e.Name, e.Fault)
}

// StatusError reports a response whose status is not a number from 100 to 599 of three digits.
type StatusError struct {
	Status string // as received, shortened
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("httphead: the response has the status %q, which is not a number from 100 to 599 of three digits; correct the sender", e.Status)
}

// SizeError reports a head or trailer that does not fit the buffer of its reader.
type SizeError struct {
	Limit int // bytes
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("httphead: a head or trailer is larger than %d bytes; let the sender send fewer or shorter fields", e.Limit)
}

func (e *SizeError) Unwrap() error { return bufio.ErrBufferFull }

// CutOffError reports a response without a length that ended with its connection before the server had
// taken the request. Whether it is whole is not known.
type CutOffError struct {
	Cause error // as of connprobe.AwaitTaken
}

func (e *CutOffError) Error() string {
	return fmt.Sprintf("httphead: a response without a length ended before the request was taken: %v; check why the server ends connections, and let it read requests to their end or send Content-Length", e.Cause)
}

func (e *CutOffError) Unwrap() error { return e.Cause }

// Malformed reports whether err says that a message was received whose head or trailer can't be
// used, in contrast to one that has not arrived completely.
func Malformed(err error) bool {
	var line *LineError
	var status *StatusError
	return errors.As(err, &line) || errors.As(err, &status) || errors.Is(err, ErrOtherEnd)
}

func shorten(b []byte) string { return string(b[:min(len(b), maxShown)]) }

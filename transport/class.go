package transport

import "github.com/parsleystack/parsleystack/wire"

// Class is a traffic class. Each class uses its own connection to a peer, so that
// traffic of one class does not wait behind that of another.
type Class uint8

const (
	// ClassControl carries cell messages and calls.
	ClassControl Class = 1
	// ClassRequest carries callers' requests with small bodies.
	ClassRequest Class = 2
	// ClassBulk carries callers' requests with large bodies or large responses.
	ClassBulk Class = 3
)

// classCount is the length of arrays that are indexed by Class; index 0 is not
// used.
const classCount = 4

// minBulkBody is the smallest request body, in bytes, that is sent as ClassBulk.
const minBulkBody = 64 << 10

func (c Class) valid() bool { return c >= ClassControl && c <= ClassBulk }

func classOf(req *wire.Request) Class {
	if len(req.Body) >= minBulkBody || req.LargeResponse {
		return ClassBulk
	}
	return ClassRequest
}

// String returns the name of the class.
func (c Class) String() string {
	switch c {
	case ClassControl:
		return "control"
	case ClassRequest:
		return "request"
	case ClassBulk:
		return "bulk"
	}
	return "invalid"
}

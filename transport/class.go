package transport

// Class separates traffic that must not wait for each other.
type Class uint8

const (
	// ClassControl carries cell messages and calls.
	ClassControl Class = 1
	// ClassRequest carries callers' requests with small bodies.
	ClassRequest Class = 2
	// ClassBulk carries callers' requests with large bodies.
	ClassBulk Class = 3
)

const classCount = 4

// bulkBody is the size in bytes from which a request's body is large.
const bulkBody = 64 << 10

func (c Class) valid() bool { return c >= ClassControl && c <= ClassBulk }

func classOf(body []byte) Class {
	if len(body) >= bulkBody {
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

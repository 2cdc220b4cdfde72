package transport

// Class separates traffic that must not wait for each other.
type Class uint8

const (
	// ClassControl carries cell messages and calls.
	ClassControl Class = 1
	// ClassRequest carries callers' requests.
	ClassRequest Class = 2
)

const classCount = 3

func (c Class) valid() bool { return c == ClassControl || c == ClassRequest }

// String returns the name of the class.
func (c Class) String() string {
	switch c {
	case ClassControl:
		return "control"
	case ClassRequest:
		return "request"
	}
	return "invalid"
}

package wire

import (
	"encoding/binary"

	"github.com/tinylib/msgp/msgp"
)

// Frame is one received frame. Body is valid until Release.
type Frame struct {
	Kind Kind
	ID   uint64
	Body []byte

	buf *buffer
}

// Release hands the frame's buffer back for reuse. Only one copy of a Frame
// may be released.
func (f *Frame) Release() {
	if f.buf != nil {
		f.buf.free()
	}
	f.buf = nil
	f.Body = nil
}

// Decode reads the frame's body into m and returns a GarbageError if it is not
// exactly one message.
func (f *Frame) Decode(m msgp.Unmarshaler) error {
	rest, err := m.UnmarshalMsg(f.Body)
	if err != nil {
		return &GarbageError{What: "malformed " + f.Kind.String() + " body", Err: err}
	}
	if len(rest) > 0 {
		return &GarbageError{What: "bytes follow the " + f.Kind.String() + " body"}
	}
	return nil
}

// Append adds a frame with the message m as its body to dst. With a nil m the
// body is empty. It returns an OversizeError, and dst unchanged, if the frame
// exceeds limit bytes.
func Append(dst []byte, kind Kind, id uint64, m msgp.Marshaler, limit int) ([]byte, error) {
	start := len(dst)
	dst = appendPrefix(dst, kind, id)
	if m != nil {
		var err error
		if dst, err = m.MarshalMsg(dst); err != nil {
			return dst[:start], &GarbageError{What: "encode " + kind.String(), Err: err}
		}
	}
	return finish(dst, start, limit)
}

// SetID changes the correlation id of a frame that Append has made at the start
// of b.
func SetID(b []byte, id uint64) {
	binary.BigEndian.PutUint64(b[lengthSize+kindSize:], id)
}

// AppendRaw adds a frame with the given body to dst, with the same errors as
// Append.
func AppendRaw(dst []byte, kind Kind, id uint64, body []byte, limit int) ([]byte, error) {
	start := len(dst)
	dst = appendPrefix(dst, kind, id)
	dst = append(dst, body...)
	return finish(dst, start, limit)
}

func appendPrefix(dst []byte, kind Kind, id uint64) []byte {
	dst = append(dst, 0, 0, 0, 0, byte(kind))
	return binary.BigEndian.AppendUint64(dst, id)
}

func finish(dst []byte, start, limit int) ([]byte, error) {
	length := len(dst) - start - lengthSize
	if length > limit {
		return dst[:start], &OversizeError{Size: uint64(length), Limit: uint64(limit)}
	}
	binary.BigEndian.PutUint32(dst[start:], uint32(length))
	return dst, nil
}

package wire

import (
	"encoding/binary"

	"github.com/tinylib/msgp/msgp"

	"github.com/parsleystack/parsleystack/recvlimit"
)

// Frame is one received frame. Body is valid until Release.
type Frame struct {
	Kind Kind
	ID   uint64
	Body []byte
	// Refused is why the body was discarded: a *recvlimit.BudgetError if there was no memory
	// for it, nil if it was received.
	Refused error

	buf  *buffer
	held *recvlimit.Holding // nil if the frame is not counted
	cost int                // memory in bytes besides the body
}

// Release returns the frame's buffer for reuse; Body must not be used afterwards.
// Only one copy of a Frame may be released.
func (f *Frame) Release() {
	if f.buf != nil {
		f.buf.release()
	}
	f.held.Release()
	f.buf, f.held, f.Body = nil, nil, nil
}

// Decode reads the frame's body into m and returns a MalformedError if it is not
// exactly one message.
func (f *Frame) Decode(m msgp.Unmarshaler) error {
	rest, err := m.UnmarshalMsg(f.Body)
	if err != nil {
		return &MalformedError{Detail: "malformed " + f.Kind.String() + " body", Err: err}
	}
	if len(rest) > 0 {
		return &MalformedError{Detail: "bytes follow the " + f.Kind.String() + " body"}
	}
	return nil
}

// Append appends a frame with the message m as its body to dst. If m is nil, the
// body is empty. It returns dst unchanged with an OversizeError if the frame exceeds
// limit bytes, and with a HeaderCountError if the message has too many header fields.
func Append(dst []byte, kind Kind, id uint64, m msgp.Marshaler, limit int) ([]byte, error) {
	start := len(dst)
	if b, ok := m.(bounded); ok {
		if err := b.checkBounds(); err != nil {
			return dst, err
		}
	}
	dst = appendPrefix(dst, kind, id)
	if m != nil {
		var err error
		if dst, err = m.MarshalMsg(dst); err != nil {
			return dst[:start], &MalformedError{Detail: "encode " + kind.String(), Err: err}
		}
	}
	return finishFrame(dst, start, limit)
}

// KindAndID returns the kind and the correlation id of the encoded frame at the start
// of b.
func KindAndID(b []byte) (Kind, uint64) {
	return Kind(b[lengthSize]), binary.BigEndian.Uint64(b[lengthSize+kindSize:])
}

// SetID sets the correlation id of the encoded frame at the start of b.
func SetID(b []byte, id uint64) {
	binary.BigEndian.PutUint64(b[lengthSize+kindSize:], id)
}

// SetKind sets the kind of the encoded frame at the start of b.
func SetKind(b []byte, kind Kind) { b[lengthSize] = byte(kind) }

// AppendRaw appends a frame with an encoded body to dst. It returns an
// OversizeError, and dst unchanged, if the frame exceeds limit bytes.
func AppendRaw(dst []byte, kind Kind, id uint64, body []byte, limit int) ([]byte, error) {
	start := len(dst)
	dst = appendPrefix(dst, kind, id)
	dst = append(dst, body...)
	return finishFrame(dst, start, limit)
}

func appendPrefix(dst []byte, kind Kind, id uint64) []byte {
	dst = append(dst, 0, 0, 0, 0, byte(kind))
	return binary.BigEndian.AppendUint64(dst, id)
}

// finishFrame checks the size of the frame that begins at start and fills in its
// length.
func finishFrame(dst []byte, start, limit int) ([]byte, error) {
	return finishFrameBefore(dst, start, 0, limit)
}

// finishFrameBefore is finishFrame for a frame that continues with further bytes after dst.
func finishFrameBefore(dst []byte, start, further, limit int) ([]byte, error) {
	length := len(dst) - start - lengthSize + further
	if length > limit {
		return dst[:start], &OversizeError{Size: uint64(length), Limit: uint64(limit)}
	}
	binary.BigEndian.PutUint32(dst[start:], uint32(length))
	return dst, nil
}

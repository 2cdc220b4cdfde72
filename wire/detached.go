package wire

import "github.com/tinylib/msgp/msgp"

// emptyBody is the size in bytes of an encoded body without content, which ends a message
// that is detached from its body.
const emptyBody = 2

// Detachable is a message whose body can be sent from its own memory: a *Request or a
// *Response.
type Detachable interface {
	msgp.Marshaler
	// detach returns the message without its body, and the body, which is encoded last.
	detach() (msgp.Marshaler, []byte)
}

// AppendDetached appends a frame with the message m to dst, without the bytes of its body,
// which follow the frame on the connection. It returns dst unchanged with the errors of
// Append.
func AppendDetached(dst []byte, kind Kind, id uint64, m Detachable, limit int) (head, body []byte, err error) {
	start := len(dst)
	message, body := m.detach()
	head, err = Append(dst, kind, id, message, limit)
	if err != nil {
		return dst, nil, err
	}
	head = msgp.AppendBytesHeader(head[:len(head)-emptyBody], uint32(len(body)))
	if _, err := finishFrameBefore(head, start, len(body), limit); err != nil {
		return dst, nil, err
	}
	return head, body, nil
}

package wire

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/outcome"
)

// A message that is sent detached from its body must be the same bytes on the connection.
func TestDetachedMessagesAreEqual(t *testing.T) {
	for _, size := range []int{0, 1, 255, 256, 1 << 16, 1 << 20} {
		body := bytes.Repeat([]byte("b"), size)
		headers := []Header{{Name: []byte("A"), Value: []byte("b")}}
		for kind, m := range map[Kind]Detachable{
			KindRequest:  &Request{Service: "s", Timeout: time.Second, URI: []byte("/"), Headers: headers, Body: body},
			KindResponse: &Response{Kind: outcome.Done, Status: 200, Headers: headers, Body: body},
		} {
			want, err := Append([]byte("before"), kind, 7, m, DefaultMaxFrame)
			if err != nil {
				t.Fatal(err)
			}
			head, rest, err := AppendDetached([]byte("before"), kind, 7, m, DefaultMaxFrame)
			if err != nil || !bytes.Equal(append(head, rest...), want) {
				t.Errorf("%v with a body of %d bytes differs, error %v", kind, size, err)
			}
			var oversize *OversizeError
			if b, _, err := AppendDetached([]byte("before"), kind, 7, m, 20+size); !errors.As(err, &oversize) || string(b) != "before" {
				t.Errorf("%v with a body of %d bytes: error %v, %q", kind, size, err, b)
			}
		}
	}
}

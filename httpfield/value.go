package httpfield

import (
	"iter"
	"strings"
)

// Header is a request or response header of fasthttp.
type Header interface {
	All() iter.Seq2[[]byte, []byte]
}

// Value returns the value of the first field with the name, compared without case, or
// nil. The Peek methods of fasthttp compare with case unless names are normalized.
func Value(h Header, name string) []byte {
	for key, value := range h.All() {
		if len(key) == len(name) && strings.EqualFold(string(key), name) {
			return value
		}
	}
	return nil
}

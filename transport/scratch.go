package transport

import (
	"sync"

	"github.com/tinylib/msgp/msgp"

	"github.com/parsleystack/parsleystack/wire"
)

// maxScratch is the largest buffer in bytes that is kept for reuse.
const maxScratch = 64 << 10

// scratch is a buffer that a frame is encoded in before the connection's lock
// is taken.
type scratch struct {
	b []byte
}

var scratches = sync.Pool{New: func() any { return new(scratch) }}

func newScratch() *scratch { return scratches.Get().(*scratch) }

func (s *scratch) encode(kind wire.Kind, id uint64, m msgp.Marshaler, limit int) error {
	b, err := wire.Append(s.b[:0], kind, id, m, limit)
	s.b = b
	return err
}

func (s *scratch) free() {
	if cap(s.b) <= maxScratch {
		scratches.Put(s)
	}
}

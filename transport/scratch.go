package transport

import (
	"sync"

	"github.com/tinylib/msgp/msgp"

	"github.com/parsleystack/parsleystack/wire"
)

// maxRetainedScratch is the largest scratch buffer, in bytes, that is kept for
// reuse.
const maxRetainedScratch = 64 << 10

// scratch is a buffer in which a frame is encoded before the connection's lock is
// taken.
type scratch struct {
	b []byte
}

var scratchPool = sync.Pool{New: func() any { return new(scratch) }}

func newScratch() *scratch { return scratchPool.Get().(*scratch) }

func (s *scratch) encode(kind wire.Kind, id uint64, m msgp.Marshaler, limit int) error {
	b, err := wire.Append(s.b[:0], kind, id, m, limit)
	s.b = b
	return err
}

func (s *scratch) release() {
	if cap(s.b) <= maxRetainedScratch {
		scratchPool.Put(s)
	}
}

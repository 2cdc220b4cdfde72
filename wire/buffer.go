package wire

import (
	"math/bits"
	"sync"
)

const (
	minBufferBits = 9  // 512 bytes
	maxBufferBits = 17 // 128 KiB; larger buffers are not kept
)

// buffer is a byte slice that is reused by size class.
type buffer struct {
	b     []byte
	class int
}

var buffers [maxBufferBits + 1]sync.Pool

func newBuffer(size int) *buffer {
	class := max(bits.Len(uint(max(size, 1)-1)), minBufferBits)
	if class > maxBufferBits {
		return &buffer{b: make([]byte, size), class: class}
	}
	if b, ok := buffers[class].Get().(*buffer); ok {
		b.b = b.b[:size]
		return b
	}
	return &buffer{b: make([]byte, size, 1<<class), class: class}
}

func (b *buffer) free() {
	if b.class <= maxBufferBits {
		buffers[b.class].Put(b)
	}
}

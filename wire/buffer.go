package wire

import (
	"math/bits"
	"sync"
)

const (
	minBufferBits = 9  // 512 bytes
	maxBufferBits = 17 // 128 KiB; larger buffers are not reused
)

// buffer is a byte slice from the pool of its size class.
type buffer struct {
	b     []byte
	class int // log2 of the size in bytes, rounded up
}

// bufferPools holds released buffers, indexed by buffer.class.
var bufferPools [maxBufferBits + 1]sync.Pool

// newBuffer returns a buffer of size bytes, from its pool if there is one.
func newBuffer(size int) *buffer {
	class := max(bits.Len(uint(max(size, 1)-1)), minBufferBits)
	if class > maxBufferBits {
		return &buffer{b: make([]byte, size), class: class}
	}
	if b, ok := bufferPools[class].Get().(*buffer); ok {
		b.b = b.b[:size]
		return b
	}
	return &buffer{b: make([]byte, size, 1<<class), class: class}
}

// release returns b to the pool of its class. Larger buffers are left to the
// garbage collector.
func (b *buffer) release() {
	if b.class <= maxBufferBits {
		bufferPools[b.class].Put(b)
	}
}

package wire

import (
	"errors"
	"io"
	"time"

	"github.com/parsleystack/parsleystack/recvlimit"
)

const (
	// maxAllocStep bounds the memory that is allocated because of a frame's length
	// prefix alone. Longer bodies are allocated in steps as their bytes arrive.
	maxAllocStep = 1 << 20 // bytes
	// allocGrowth is the least factor by which the buffer of a longer body grows. While the
	// bytes are copied for the last time, the body takes at most a quarter more than its size.
	allocGrowth = 4
	// requestCost is the memory in bytes that a request takes besides its frame, for its
	// goroutine and its state.
	requestCost = 8 << 10
	// headerCost is that of a header field of a decoded request, and of its copy in the
	// request to the target.
	headerCost = 192
	// uncountedHeaders is the number of header fields that requestCost includes.
	uncountedHeaders = 32
	// uncountedBody is the size in bytes up to which the body of a frame that is no request is
	// not counted.
	uncountedBody = 4 << 10
	// responseWait is how long a response waits for memory while nothing else is read from
	// the connection. A response that is refused has an unknown outcome for its caller.
	responseWait = 250 * time.Millisecond
)

// SetMemory sets the pool in which the memory of the frames that follow is counted. Frames
// that are incomplete may be evicted if the time of a frame is bounded.
func (r *Reader) SetMemory(p *recvlimit.Pool) { r.memory = p }

// OnBody sets a function that is called before the body of a frame is counted.
func (r *Reader) OnBody(f func(kind Kind, id uint64)) { r.onBody = f }

// readBody reads the body of a frame, or discards it if there is no memory.
func (r *Reader) readBody(f *Frame, size int) error {
	if r.memory != nil && (f.Kind == KindRequest || size > uncountedBody) {
		f.held = r.open(size)
		if f.Kind == KindRequest {
			f.cost = requestCost
		}
		if r.onBody != nil {
			r.onBody(f.Kind, f.ID)
		}
	}
	r.held = f.held
	left, err := r.receive(f, size)
	r.held = nil
	if err == nil {
		f.held.Complete()
		if !f.held.Evicted() {
			return nil
		}
		err = errEvicted
	}
	var noRoom *recvlimit.BudgetError
	refused := errors.As(err, &noRoom) || errors.Is(err, errEvicted)
	f.Release()
	if !refused {
		return &TruncatedError{Err: err}
	}
	f.Refused = &recvlimit.BudgetError{Source: recvlimit.Daemon, Limit: r.memory.Limit()}
	if _, err := r.r.Discard(left); err != nil {
		return &TruncatedError{Err: err}
	}
	return nil
}

// open registers a frame. One that has arrived as a whole is not evicted.
func (r *Reader) open(size int) *recvlimit.Holding {
	if r.conn == nil || r.r.Buffered() >= size {
		return r.memory.Open(recvlimit.Daemon, nil)
	}
	return r.memory.Open(recvlimit.Daemon, r.interrupt)
}

// receive reads the body of a frame. It returns the number of bytes that it has not read.
func (r *Reader) receive(f *Frame, size int) (left int, err error) {
	if size == 0 {
		return 0, r.grow(f, f.cost)
	}
	for len(f.Body) < size {
		if len(f.Body) == cap(f.Body) {
			if err := r.growBody(f, size); err != nil {
				return size - len(f.Body), err
			}
		}
		n, err := r.r.Read(f.Body[len(f.Body):min(cap(f.Body), size)])
		f.Body = f.Body[:len(f.Body)+n]
		if err == nil && len(f.Body) < size {
			err = f.held.Grow(0) // it has made progress
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return size - len(f.Body), err
		}
	}
	return 0, nil
}

// growBody replaces the buffer of the body, which is full, by the next larger one.
func (r *Reader) growBody(f *Frame, size int) error {
	next := size
	if size > maxAllocStep {
		next = max(allocGrowth*cap(f.Body), maxAllocStep)
		if next >= size/2 {
			next = size
		}
	}
	total := f.cost + cap(f.Body) + next // both exist while the bytes are copied
	if err := r.grow(f, total); err != nil {
		return err
	}
	if size <= maxAllocStep {
		f.buf = newBuffer(size)
		f.Body = f.buf.b[:0]
		return nil
	}
	f.Body = append(make([]byte, 0, next), f.Body...)
	f.held.Shrink(f.cost + next)
	return nil
}

// grow counts the memory of a frame. Responses wait for room, but not again after one that has
// found none: other frames wait behind them.
func (r *Reader) grow(f *Frame, total int) error {
	if f.Kind != KindResponse && f.Kind != KindReply {
		return f.held.Grow(total)
	}
	wait := responseWait
	if r.hasty {
		wait = 0
	}
	err := f.held.Await(total, wait)
	r.hasty = err != nil
	return err
}

// CountHeaders counts the memory of the header fields that were decoded from the frame. It
// returns a *recvlimit.BudgetError if there is none.
func (f *Frame) CountHeaders(n int) error {
	if n <= uncountedHeaders {
		return nil
	}
	return f.held.Grow(f.cost + len(f.Body) + n*headerCost)
}

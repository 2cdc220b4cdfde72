package callerhttp

import (
	"errors"
	"io"
	"os"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/recvlimit"
)

// chunkSize is the size of the first buffer of a request. Requests of the known deployments
// fit; larger heads get a buffer of Config.MaxHeader.
const chunkSize = 4 << 10

type chunk [chunkSize]byte

var chunks = sync.Pool{New: func() any { return new(chunk) }}

// errInterrupted ends the reading of a connection that is closed.
var errInterrupted = errors.New("the connection is being closed")

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// readCall is the state of one read of a connection.
type readCall struct {
	attempt func(fd uintptr) bool // conn.attemptRead, kept since a method value is allocated
	dst     []byte                // nil: into a chunk, which is taken only once there are bytes
	n       int
	err     error
	waited  bool
}

// Read implements io.Reader for the buffered reader of the connection.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.peeked; err != nil {
		c.peeked = nil
		return 0, err
	}
	if len(c.pending) == 0 {
		return c.receive(p)
	}
	n := copy(p, c.pending)
	c.pending = c.pending[n:]
	if len(c.pending) == 0 {
		c.dropChunk()
	}
	return n, nil
}

// receive reads from the connection. If p is nil, it reads into c.pending.
func (c *conn) receive(p []byte) (int, error) {
	c.idle = time.Time{}
	for {
		if c.interrupted.Load() {
			return 0, c.interruption()
		}
		if c.moved.bytes > 0 {
			runtime.Gosched() // a caller that sends without a pause would take whole time slices
		}
		n, err := c.readOnce(p)
		switch {
		case n > 0:
			c.newer = true
			c.moved.bytes += n
			return n, nil
		case err == nil:
			return 0, io.EOF
		case !errors.Is(err, os.ErrDeadlineExceeded) || !c.extend():
			return 0, err
		}
	}
}

// interruption returns the error of an interrupted read.
func (c *conn) interruption() error {
	if c.state.isDisplaced() {
		return &ConnLimitError{Limit: c.server.MaxConns()}
	}
	if c.evicted.Load() {
		return &recvlimit.BudgetError{Source: recvlimit.Caller, Limit: c.server.config.Memory.Limit()}
	}
	return errInterrupted
}

// readOnce reads until there are bytes, the connection ends or its deadline has passed.
func (c *conn) readOnce(p []byte) (int, error) {
	r := &c.call
	r.dst, r.n, r.err, r.waited = p, 0, nil, false
	if c.raw == nil {
		return c.readPlain(p)
	}
	err := c.raw.Read(r.attempt)
	r.dst = nil
	if r.err != nil || r.n > 0 {
		err = r.err
	}
	return r.n, err
}

// readPlain reads from a connection without a file descriptor.
func (c *conn) readPlain(p []byte) (int, error) {
	if err := c.prepareWait(); err != nil {
		return 0, err
	}
	if p != nil {
		return c.nc.Read(p)
	}
	b := chunks.Get().(*chunk)
	n, err := c.nc.Read(b[:])
	c.keepChunk(b, n)
	return n, err
}

// attemptRead reads without waiting. It reports false if there are no bytes yet.
func (c *conn) attemptRead(fd uintptr) bool {
	r := &c.call
	var b *chunk
	p := r.dst
	if p == nil {
		b = chunks.Get().(*chunk)
		p = b[:]
	}
	n, err := syscall.Read(int(fd), p)
	for errors.Is(err, syscall.EINTR) {
		n, err = syscall.Read(int(fd), p)
	}
	if b != nil {
		c.keepChunk(b, n)
	}
	switch {
	case errors.Is(err, syscall.EAGAIN):
		if r.waited {
			return false
		}
		r.waited = true
		r.err = c.prepareWait()
		return r.err != nil
	case err != nil:
		r.err = os.NewSyscallError("read", err)
	default:
		r.n = n
	}
	return true
}

// keepChunk makes a chunk the source of the next bytes, or returns it if it has none.
func (c *conn) keepChunk(b *chunk, n int) {
	if n <= 0 {
		chunks.Put(b)
		return
	}
	c.chunk, c.pending = b, b[:n]
}

func (c *conn) dropChunk() {
	if c.chunk != nil {
		chunks.Put(c.chunk)
		c.chunk, c.pending = nil, nil
	}
}

// prepareWait is called before the reader waits for bytes. It sets the deadline, counts
// the memory of a request that is not complete, and records for what the reader waits.
func (c *conn) prepareWait() error {
	if c.x != nil {
		if err := c.count(c.x, cap(c.x.body)); err != nil {
			return err
		}
	}
	c.recordWait(clock.Fast())
	due := c.due(time.Now())
	if c.armed.IsZero() || c.armed.After(due) {
		if err := c.arm(due); err != nil {
			return err
		}
	}
	return nil
}

// progressBytes is the number of bytes of a request that count as progress: a caller that sends
// a byte now and then makes none.
const progressBytes = 4 << 10

// progress is how far the reading of a request has come.
type progress struct {
	bytes int        // that arrived since last
	part  activity   // that was read at that time
	last  clock.Time // of progress; Never before the reader has waited
}

// recordWait records for what the reader waits, and since when without progress.
func (c *conn) recordWait(now clock.Time) {
	if c.x != nil && (c.moved.last == clock.Never || c.moved.bytes >= progressBytes || c.moved.part != c.part) {
		c.moved = progress{part: c.part, last: now}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.x != nil {
		c.quiet = c.moved.last
		if c.requests > 0 {
			c.reading = c.part
		}
	}
	c.updateState()
}

// arm sets the deadline of reads. An earlier one that is set stays until it has passed: then
// extend sets the new one, so that most requests set none.
func (c *conn) arm(due time.Time) error {
	c.armed = due
	if err := c.nc.SetReadDeadline(due); err != nil {
		return err
	}
	if c.interrupted.Load() { // its deadline may have been replaced
		return c.interruption()
	}
	return nil
}

// due returns the time until which the reader may wait.
func (c *conn) due(now time.Time) time.Time {
	s := &c.server.config
	if c.x != nil && c.began.IsZero() {
		c.began = now
	}
	if c.idle.IsZero() {
		c.idle = now
	}
	switch {
	case c.x != nil:
		return c.began.Add(s.ReadTimeout)
	case c.requests == 0:
		return c.accepted.Add(s.ReadTimeout)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.idle
	if c.queue.Len() > 0 {
		since = now
	} else if c.written.After(since) {
		since = c.written
	}
	return since.Add(s.IdleTimeout)
}

// extend is called when the deadline of reads has passed. It reports false if the time to
// wait has passed, too.
func (c *conn) extend() bool {
	if c.interrupted.Load() {
		return true // receive returns why
	}
	now := time.Now()
	due := c.due(now)
	return now.Before(due) && c.arm(due) == nil
}

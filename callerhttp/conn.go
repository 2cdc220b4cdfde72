package callerhttp

import (
	"bufio"
	"errors"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/connprobe"
	"github.com/parsleystack/parsleystack/pipeline"
	"github.com/parsleystack/parsleystack/recvlimit"
)

// conn is one connection of a caller.
type conn struct {
	nc      net.Conn
	server  *Server
	raw     syscall.RawConn // nil if nc has no file descriptor
	memory  *recvlimit.Holding
	state   connState
	writing atomic.Int64 // clock.Time of the last progress of the write in progress, or Never

	// The following fields belong to the goroutine that reads.
	br       *bufio.Reader // nil while there is nothing to parse
	chunk    *chunk        // nil unless pending refers to it
	pending  []byte        // read from nc and not yet taken by br
	call     readCall
	peeked   error     // of a read that awaitFields has left to the parser
	x        *Exchange // the request that is being read, or nil
	began    time.Time // when the reader first waited for more bytes of x
	idle     time.Time // since when it has waited for the first byte of a request
	armed    time.Time // the deadline of reads that is set at nc
	accepted time.Time
	requests uint64
	part     activity   // of x that is being read: inHead or inBody
	moved    progress   // of the reading of x
	newer    bool       // bytes were read since arrived was set
	arrived  clock.Time // when the newest bytes arrived
	unread   time.Duration

	writeBy time.Time // deadline of writes that is set at nc; belongs to the goroutine that writes

	// interrupted tells the reader to read no further.
	interrupted atomic.Bool
	evicted     atomic.Bool

	mu        sync.Mutex
	cond      sync.Cond // signaled when a response was written or the reader is interrupted
	queue     pipeline.Queue[*Exchange]
	batch     []*Exchange // buffer for the responses that are written together
	receiving bool        // a request is being read
	readEnded bool        // the reader reads no further requests
	wrote     bool        // the closing response has been written, or the connection has failed
	failed    bool        // the connection has failed
	lingers   bool        // the caller may still send bytes when the connection closes
	ending    bool        // end was called
	written   time.Time   // of the last response
	reading   activity    // fresh to inBody: what the reader waits for; busy: a request was read
	quiet     clock.Time  // since when it has waited without progress
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{nc: nc, server: s, accepted: time.Now(), queue: pipeline.NewQueue[*Exchange](s.config.Window)}
	c.cond.L = &c.mu
	c.reading, c.quiet = fresh, clock.Fast()
	c.updateState()
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			c.raw = raw
			c.call.attempt = c.attemptRead
		}
	}
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	for c.awaitTurn() && c.awaitBytes() && c.readAhead() {
		if !c.readNext() {
			break
		}
		if c.hasUnparsed() {
			runtime.Gosched() // requests that are answered at once would take whole time slices
		}
	}
	c.dropBuffers()
	c.mu.Lock()
	c.readEnded, c.receiving = true, false
	c.endIfDone()
	c.mu.Unlock()
}

// awaitTurn waits until a further request may be read. It reports false if none is read any more.
func (c *conn) awaitTurn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if c.server.draining.Load() {
			c.queue.Drain()
		}
		switch {
		case c.queue.MayRead():
			return !c.interrupted.Load()
		case c.queue.Ended() || c.interrupted.Load():
			return false
		}
		c.cond.Wait()
	}
}

// awaitEmpty waits until all responses have been written. It reports false if the connection
// ends before.
func (c *conn) awaitEmpty() bool {
	return c.await(func() bool { return c.queue.Len() == 0 })
}

// await waits until done, which is called with the lock held, reports true. It reports false if
// the connection ends before.
func (c *conn) await(done func() bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !done() && !c.queue.Closed() && !c.interrupted.Load() {
		c.cond.Wait()
	}
	return done() && !c.queue.Closed()
}

// readAhead takes memory for a request behind others. If there is none, it waits until they
// have been answered.
func (c *conn) readAhead() bool {
	c.mu.Lock()
	if c.queue.Closed() { // shut down as idle
		c.mu.Unlock()
		return false
	}
	c.receiving = true
	behind := c.queue.Len() > 0
	c.mu.Unlock()
	x := newExchange(c)
	c.x, c.began, x.Behind = x, time.Time{}, behind
	c.part, c.moved = inHead, progress{}
	if !behind {
		return true
	}
	x.ahead = c.server.config.Memory.Open(recvlimit.Caller, nil)
	if x.ahead.Grow(aheadCost) == nil || c.awaitEmpty() {
		return true
	}
	c.x = nil
	x.release()
	return false
}

// readNext reads one request and adds it to the queue. It reports false if no further one is
// read.
func (c *conn) readNext() bool { return c.finishRead(c.x, c.readRequest(c.x)) }

// finishRead adds a request that has been read, or could not be, to the queue. It reports false
// if no further one is read.
func (c *conn) finishRead(x *Exchange, err error) bool {
	c.x = nil
	x.Before = c.requests
	c.requests++
	x.Arrived, x.Unread = c.arrival()
	if err != nil {
		if c.silent(err) {
			c.callerLeft()
			x.release()
			return false
		}
		if connprobe.CutShort(err, c.nc) {
			c.callerLeft()
		}
		c.server.handler.ReadError(x, err)
		x.last = true
	} else {
		x.last = x.BodyTooLarge || x.Ctx.Request.Header.ConnectionClose()
		x.work = c.server.handler.Prepare(x)
	}
	last := x.last
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving, c.reading = false, idle
	c.lingers = c.lingers || err != nil || x.BodyTooLarge
	if !c.add(x) {
		return false
	}
	c.advance()
	return !last
}

// silent reports whether an error ends the connection without a response: its end between two
// requests.
func (c *conn) silent(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, errInterrupted) || err == io.EOF //nolint:errorlint // a wrapped one is the end within a request
}

// add puts a request that has been read into the queue. It reports false if no response to it
// can be written any more. The caller holds the lock.
func (c *conn) add(x *Exchange) bool {
	r := pipeline.Request{Answered: x.work == nil, Last: x.last, Bytes: len(x.body)}
	if x.work != nil {
		r.Idempotent, r.Deadline = x.work.Idempotent(), x.work.Deadline()
	}
	if c.server.draining.Load() {
		c.queue.Drain()
	}
	number, ok := c.queue.Add(x, r)
	if !ok {
		c.mu.Unlock()
		c.drop(x)
		c.mu.Lock()
		return false
	}
	x.number = number
	return true
}

// advance begins the requests and writes the responses whose turn it is. The caller holds the
// lock, which is released meanwhile.
func (c *conn) advance() {
	for {
		if c.server.draining.Load() {
			c.queue.Drain()
		}
		c.begin()
		batch, closes := c.queue.Write(c.batch[:0])
		if len(batch) == 0 {
			return
		}
		c.batch = nil // until these have been released
		if closes && !batch[len(batch)-1].last {
			c.lingers = true // the caller may have sent more
		}
		c.mu.Unlock()
		err := c.writeAll(batch, closes)
		c.mu.Lock()
		c.queue.Written() // first: the caller may send its next request already
		c.written = time.Now()
		if c.reading == idle {
			c.quiet = clock.Fast()
		}
		c.updateState()
		if err != nil || closes {
			c.failed = c.failed || err != nil
			c.close()
		}
		c.cond.Broadcast()
		c.mu.Unlock()
		for _, x := range batch {
			x.release()
		}
		clear(batch)
		c.mu.Lock()
		c.batch = batch[:0]
		c.endIfDone()
	}
}

// begin starts the requests whose turn it is. The caller holds the lock, which is released
// meanwhile.
func (c *conn) begin() {
	if !c.queue.Waiting() {
		return
	}
	now := clock.Fast()
	for {
		x, _, expired, ok := c.queue.Begin(now)
		switch {
		case !ok:
			return
		case expired:
			c.mu.Unlock()
			x.work.Refuse()
			c.mu.Lock()
			c.answered(x)
		default:
			c.server.workers.run(x)
		}
	}
}

// run serves a request that has been begun. It is called on a goroutine of the workers.
func (x *Exchange) run() {
	c := x.conn
	x.work.Serve()
	c.mu.Lock()
	c.answered(x)
	c.advance()
	c.mu.Unlock()
}

// answered records that the response to a request is ready. The caller holds the lock, which is
// released meanwhile.
func (c *conn) answered(x *Exchange) {
	x.served = true
	size := len(x.Ctx.Response.Body())
	waits := !c.queue.First(x.number)
	if waits {
		x.answered = clock.Now()
	}
	if !x.BodyCounted && (waits || size > maxUncounted) {
		// A response that is ready is delivered, so it is counted but never refused. What one
		// connection holds is bounded by its window and one response.
		c.mu.Unlock()
		x.queued = c.server.config.Memory.Open(recvlimit.Caller, nil)
		x.queued.Count(size)
		c.mu.Lock()
	}
	c.queue.Answered(x.number, size, x.Ctx.Response.ConnectionClose())
	if c.queue.Failed() {
		c.mu.Unlock()
		x.release()
		c.mu.Lock()
	}
}

// callerLeft cancels the requests in progress.
func (c *conn) callerLeft() {
	var works []Work
	c.mu.Lock()
	c.queue.Each(func(x *Exchange) { works = append(works, x.work) })
	c.mu.Unlock()
	for _, w := range works {
		w.Cancel()
	}
}

// close ends the connection: its last response was written, or it has failed. The caller holds
// the lock, which is released meanwhile.
func (c *conn) close() {
	c.wrote = true
	dropped := c.queue.Fail(nil)
	failed := c.failed
	c.mu.Unlock()
	if failed {
		c.callerLeft()
	}
	for _, x := range dropped {
		c.drop(x)
	}
	c.interrupt()
	c.mu.Lock()
}

// drop releases a request that gets no response.
func (c *conn) drop(x *Exchange) {
	if x.work != nil && !x.served {
		x.work.Discard()
	}
	x.release()
}

// interrupt makes the reader return.
func (c *conn) interrupt() {
	c.interrupted.Store(true)
	_ = c.nc.SetReadDeadline(past) // an error means that the connection is closed
	c.mu.Lock()
	c.cond.Broadcast()
	c.mu.Unlock()
}

// evictBody ends the reading of a request to free its memory.
func (c *conn) evictBody() {
	c.evicted.Store(true)
	c.interrupt()
}

// evict closes the connection for another one. What is being read gets a response; a response
// that is being written is broken off.
func (c *conn) evict() {
	if c.writing.Load() != int64(clock.Never) {
		_ = c.nc.Close() // ends its goroutines
	}
	c.interrupt()
}

// commit records that a request was read, before it may be begun. It reports false if the connection
// is being closed for another one.
func (c *conn) commit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = busy // until it is in the queue: the end of an earlier response must not undo this
	return c.state.set(busy, 0)
}

// updateState records what the connection does. The caller holds the lock.
func (c *conn) updateState() {
	if c.queue.Len() > 0 {
		c.state.set(busy, 0)
		return
	}
	c.state.set(c.reading, c.quiet)
}

// shutDownIdle closes the connection if no request is in progress.
func (c *conn) shutDownIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.Len() == 0 && !c.receiving && !c.queue.Closed() {
		c.failed = true
		c.close()
		c.endIfDone()
	}
}

// endIfDone ends the connection if nothing more is read or written. The caller holds the lock,
// which is released meanwhile.
func (c *conn) endIfDone() {
	if c.ending || !c.readEnded || !c.wrote && c.queue.Len() > 0 {
		return
	}
	c.ending = true
	lingers, failed := c.lingers, c.failed
	c.queue.Fail(nil) // nothing is left in it
	c.mu.Unlock()
	if !failed && c.state.set(lingering, clock.Fast()) && (lingers || connprobe.Unread(c.nc)) {
		c.linger()
	}
	_ = c.nc.Close() // nothing is left to do
	c.server.remove(c)
	c.mu.Lock()
}

package transport

import (
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/egress"
	"github.com/parsleystack/parsleystack/recvlimit"
	"github.com/parsleystack/parsleystack/wire"
)

// maxRetainedBuffer is the largest write buffer, in bytes, that is reused. Larger ones would
// stay with each connection and take the memory of messages.
const maxRetainedBuffer = 64 << 10

// writer queues outgoing frames of a connection and writes all queued frames with
// one system call.
type writer struct {
	conn       net.Conn
	timeout    time.Duration
	maxBacklog int // bytes that may be queued
	maxFrame   int // size limit of a frame, in bytes

	// egress schedules the frames of a connection for large ones. Other connections only
	// report what they send.
	egress    *egress.Link
	scheduled bool

	wake    chan struct{}
	failed  chan struct{} // closed by fail
	stopped chan struct{} // closed at the end of run

	mu        sync.Mutex
	pending   []byte
	frames    []queuedFrame // in place of pending if scheduled, else responses with large bodies
	writing   *queuedFrame  // of frames, that is being written
	endPos    uint64        // stream position after the last queued byte
	submitted uint64        // stream position up to which bytes are being or were passed to the socket
	err       error

	held      *recvlimit.Holding // memory of the connection and its queue
	heldBytes int                // of the queue, as counted in held
	batch     int                // bytes of the buffer that is being written
}

// connCost is the memory in bytes of a connection without its queue: its buffer for reads and
// its goroutines.
const connCost = 32 << 10

// countHeldLocked counts the memory of the queue. It is counted even if there is no room, since
// the frames may be responses to requests that have run; the queue has a limit of its own.
func (w *writer) countHeldLocked() {
	bytes := cap(w.pending) + w.batch
	for i := range w.frames {
		bytes += cap(w.frames[i].b)
	}
	if w.writing != nil {
		bytes += w.writing.held()
	}
	if bytes != w.heldBytes {
		w.heldBytes = bytes
		w.held.Count(connCost + bytes)
	}
}

func newWriter(conn net.Conn, class Class, cfg *Config) *writer {
	w := &writer{
		conn: conn, timeout: cfg.WriteTimeout, maxBacklog: cfg.MaxBacklog, maxFrame: cfg.MaxFrame,
		egress: cfg.Egress, scheduled: class == ClassBulk, wake: make(chan struct{}, 1), failed: make(chan struct{}), stopped: make(chan struct{}),
		held: cfg.Memory.Open(recvlimit.Daemon, nil),
	}
	w.held.Count(connCost)
	return w
}

// writeFrame encodes and queues a frame. If it returns an error, no byte of the
// frame was or will be written.
func (w *writer) writeFrame(kind wire.Kind, id uint64, m msgp.Marshaler) error {
	if w.scheduled {
		return w.writeScheduledFrame(kind, id, m, clock.Never)
	}
	s := newScratch()
	defer s.release()
	if err := s.encode(kind, id, m, w.maxFrame); err != nil {
		return err
	}
	_, err := w.appendEncoded(s.b, nil)
	return err
}

// appendEncoded queues an encoded frame and returns its position in the stream. If
// it returns an error, no byte of the frame was or will be written. Only if frames are
// scheduled, a body may follow the frame, which is not copied.
func (w *writer) appendEncoded(frame, body []byte) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkLocked(); err != nil {
		return 0, err
	}
	if w.scheduled {
		return w.queueFrameLocked(queuedFrame{b: append([]byte(nil), frame...), body: body}, clock.Never), nil
	}
	before := len(w.pending)
	w.pending = append(w.pending, frame...)
	return w.finishAppend(before, nil)
}

// appendRaw queues a frame with an encoded body and returns its position in the
// stream. If it returns an error, no byte of the frame was or will be written.
func (w *writer) appendRaw(kind wire.Kind, id uint64, body []byte) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkLocked(); err != nil {
		return 0, err
	}
	if w.scheduled {
		frame, err := wire.AppendRaw(nil, kind, id, body, w.maxFrame)
		if err != nil {
			return 0, err
		}
		return w.queueFrameLocked(queuedFrame{b: frame}, clock.Never), nil
	}
	before := len(w.pending)
	pending, err := wire.AppendRaw(w.pending, kind, id, body, w.maxFrame)
	w.pending = pending
	return w.finishAppend(before, err)
}

// withdraw withdraws the queued request whose frame starts at a position and returns true, or
// queues a cancel frame for it if its sending may have begun.
func (w *writer) withdraw(id, position uint64) bool {
	if w.scheduled {
		return w.withdrawScheduled(id)
	}
	if w.withdrawPending(position) {
		return true
	}
	_, _ = w.appendRaw(wire.KindCancel, id, nil) // a connection that has failed ends the request as well
	return false
}

// withdrawPending turns a queued request into a cancel frame, which the peer ignores as it
// does not know the id. The frame keeps its bytes, since the positions of those behind it
// depend on them. It returns false if the frame was passed to the socket.
func (w *writer) withdrawPending(position uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil || position < w.submitted {
		return false
	}
	wire.SetKind(w.pending[uint64(len(w.pending))-(w.endPos-position):], wire.KindCancel)
	return true
}

// checkLocked returns an error if the connection has failed or the queue is full.
func (w *writer) checkLocked() error {
	if w.err != nil {
		return w.err
	}
	if w.queuedLocked() > w.maxBacklog {
		return ErrBacklog
	}
	return nil
}

// finishAppend completes an append to a queue that held before bytes: it returns
// the stream position of the new frame and wakes run if the queue was empty.
func (w *writer) finishAppend(before int, err error) (uint64, error) {
	if err != nil {
		return 0, err
	}
	start := w.endPos
	w.endPos += uint64(len(w.pending) - before)
	w.countHeldLocked()
	if before == 0 {
		w.signal()
	}
	return start, nil
}

func (w *writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// maybeSent reports whether the whole frame that ends at the given position may have reached
// the peer. The result is final only at the end of run.
func (w *writer) maybeSent(position uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return position <= w.submitted
}

// fail makes later appends return err and stops run. Later calls of fail have no
// effect.
func (w *writer) fail(err error) {
	w.mu.Lock()
	if w.err == nil {
		w.err = err
		close(w.failed)
		w.dropFramesLocked()
		w.held.Release()
	}
	w.mu.Unlock()
	w.signal()
}

// takePending returns all queued bytes and uses spare as the next queue buffer.
func (w *writer) takePending(spare []byte) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return nil, w.err
	}
	batch := w.pending
	w.pending = spare[:0]
	w.submitted = w.endPos
	w.batch = cap(batch)
	w.countHeldLocked()
	return batch, nil
}

// recordUnsent records that the last bytes of what was passed to the socket were not written.
func (w *writer) recordUnsent(bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.submitted -= uint64(bytes)
}

// dropBatch counts the buffer that was written last as freed.
func (w *writer) dropBatch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.batch = 0
	w.countHeldLocked()
}

// run writes queued frames until fail is called or a write fails, and returns the
// error. It calls count with the size of each batch.
func (w *writer) run(count func(bytes int)) error {
	defer close(w.stopped)
	if w.scheduled {
		return w.runScheduled(count)
	}
	var spare []byte
	for range w.wake {
		for {
			runtime.Gosched() // let other goroutines add their frames to the batch
			batch, err := w.takePending(spare)
			if err != nil {
				return err
			}
			spare = batch
			if len(batch) > 0 {
				if err := w.write(batch); err != nil {
					return err
				}
				count(len(batch))
				w.egress.Sent(len(batch))
				if cap(batch) > maxRetainedBuffer {
					spare = nil
					w.dropBatch()
				}
			}
			written, err := w.writeNextFrame(count)
			if err != nil {
				return err
			}
			if !written {
				break
			}
		}
	}
	return nil
}

func (w *writer) write(batch []byte) error {
	if err := w.conn.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		w.recordUnsent(len(batch))
		return err
	}
	n, err := w.conn.Write(batch)
	if err != nil {
		w.recordUnsent(len(batch) - n)
	}
	return err
}

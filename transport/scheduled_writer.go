package transport

import (
	"slices"

	"github.com/tinylib/msgp/msgp"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/egress"
	"github.com/parsleystack/parsleystack/wire"
)

// unscheduledFrame is the size in bytes up to which a frame is sent without waiting for
// its turn on the link.
const unscheduledFrame = 2 << 10

// queuedFrame is an encoded frame of a connection whose frames are scheduled.
type queuedFrame struct {
	b        []byte
	body     []byte // follows b; memory of the sender of the message
	release  func() // called once when body is not used any more; nil for a request
	endPos   uint64 // stream position after the frame
	transfer *egress.Transfer
	orphaned bool // the sender of the request no longer waits, and does not count its body
}

// held returns the bytes that the frame takes besides what its sender counts.
func (f *queuedFrame) held() int {
	if f.orphaned {
		return cap(f.b) + len(f.body)
	}
	return cap(f.b)
}

// queuedLocked returns the number of queued bytes, without bodies in the memory of their
// senders.
func (w *writer) queuedLocked() int {
	n := len(w.pending)
	for i := range w.frames {
		n += len(w.frames[i].b)
	}
	return n
}

// writeScheduledFrame is writeFrame for a connection whose frames are scheduled. The
// encoded frame is queued without another copy. due is when the frame should be sent
// completely; Never if there is no such time.
func (w *writer) writeScheduledFrame(kind wire.Kind, id uint64, m msgp.Marshaler, due clock.Time) error {
	frame, err := wire.Append(nil, kind, id, m, w.maxFrame)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkLocked(); err != nil {
		return err
	}
	w.queueFrameLocked(queuedFrame{b: frame}, due)
	return nil
}

// writeResponse is writeFrame for a response. A large body that its sender keeps is not copied;
// it is released when it was written or dropped. due is when the response should be sent
// completely; Never if there is no such time.
func (w *writer) writeResponse(id uint64, resp *wire.Response, due clock.Time) error {
	if !resp.BodyKept || len(resp.Body) < minBulkBody {
		if w.scheduled {
			return w.writeScheduledFrame(wire.KindResponse, id, resp, due)
		}
		return w.writeFrame(wire.KindResponse, id, resp)
	}
	head, body, err := wire.AppendDetached(nil, wire.KindResponse, id, resp, w.maxFrame)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return w.err
	}
	// The body is counted where it was received, so the limit of the queue does not apply.
	w.queueFrameLocked(queuedFrame{b: head, body: body, release: resp.Keep()}, due)
	return nil
}

// forceFrame queues a small frame although the queue is full.
func (w *writer) forceFrame(kind wire.Kind, id uint64, m msgp.Marshaler) error {
	frame, err := wire.Append(nil, kind, id, m, w.maxFrame)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return w.err
	}
	w.queueFrameLocked(queuedFrame{b: frame}, clock.Never)
	return nil
}

// queueFrameLocked queues a frame, which it keeps, and returns its stream position.
func (w *writer) queueFrameLocked(f queuedFrame, due clock.Time) uint64 {
	start := w.endPos
	size := len(f.b) + len(f.body)
	w.endPos += uint64(size)
	f.endPos = w.endPos
	if size > unscheduledFrame {
		f.transfer = w.egress.Queue(size, due)
	}
	w.frames = append(w.frames, f)
	if len(w.frames) == 1 {
		w.signal()
	}
	w.countHeldLocked()
	return start
}

// dropResponse removes the queued large response with the given id, whose receiver no longer
// waits for it. A response whose sending has begun stays, and so does a small one: the receiver
// may wait for it to know whether the request was run.
func (w *writer) dropResponse(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeFrameLocked(wire.KindResponse, id, true)
}

// withdrawScheduled is withdraw for a connection whose frames are scheduled. The cancel frame
// passes the queued frames: large ones would hold it up for seconds.
func (w *writer) withdrawScheduled(id uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil || w.removeFrameLocked(wire.KindRequest, id, false) {
		return w.err == nil
	}
	frame, err := wire.AppendRaw(nil, wire.KindCancel, id, nil, w.maxFrame)
	if err != nil {
		return false
	}
	if w.writing != nil && len(w.writing.body) > 0 {
		if kind, writing := wire.KindAndID(w.writing.b); kind == wire.KindRequest && writing == id {
			w.writing.orphaned = true
		}
	}
	w.frames = slices.Insert(w.frames, 0, queuedFrame{b: frame, endPos: w.submitted})
	w.countHeldLocked()
	w.signal()
	return false
}

// removeFrameLocked removes a queued frame whose sending has not begun, and reports whether
// there was one; if largeOnly is set, only one that waits for its turn on the link.
func (w *writer) removeFrameLocked(kind wire.Kind, id uint64, largeOnly bool) bool {
	for i := range w.frames {
		if frameKind, frameID := wire.KindAndID(w.frames[i].b); frameKind == kind && frameID == id && (!largeOnly || w.frames[i].transfer != nil) {
			w.frames[i].end()
			w.frames = slices.Delete(w.frames, i, i+1)
			w.countHeldLocked()
			return true
		}
	}
	return false
}

func (w *writer) dropFramesLocked() {
	for i := range w.frames {
		w.frames[i].end()
	}
	w.frames = nil
}

// end removes the frame from the backlog of the link and releases its body.
func (f *queuedFrame) end() {
	if f.transfer != nil {
		f.transfer.End()
	}
	if f.release != nil {
		f.release()
		f.release = nil
	}
}

// takeFrame removes the first queued frame, which is being written from then on. It returns
// nil if there is none.
func (w *writer) takeFrame() (*queuedFrame, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = nil
	if w.err != nil || len(w.frames) == 0 {
		w.countHeldLocked()
		return nil, w.err
	}
	f := w.frames[0]
	w.frames[0] = queuedFrame{}
	w.frames = w.frames[1:]
	w.submitted = f.endPos
	w.writing = &f
	w.countHeldLocked()
	return &f, nil
}

// runScheduled is run for a connection whose frames are scheduled.
func (w *writer) runScheduled(count func(bytes int)) error {
	for range w.wake {
		for {
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

// writeNextFrame writes the first of the queued frames, and reports false if there is none.
func (w *writer) writeNextFrame(count func(bytes int)) (written bool, err error) {
	f, err := w.takeFrame()
	if f == nil || err != nil {
		return false, err
	}
	size := len(f.b) + len(f.body)
	if err := w.writeScheduled(f); err != nil {
		return false, err
	}
	count(size)
	return true, nil
}

// writeScheduled writes a frame, in segments if it is large.
func (w *writer) writeScheduled(f *queuedFrame) error {
	defer f.end()
	if f.transfer == nil {
		w.egress.Sent(len(f.b))
		return w.write(f.b)
	}
	if err := w.writeSegments(f, f.b); err != nil {
		w.recordUnsent(len(f.body))
		return err
	}
	return w.writeSegments(f, f.body)
}

// writeSegments writes a part of a large frame.
func (w *writer) writeSegments(f *queuedFrame, b []byte) error {
	for len(b) > 0 {
		n := min(w.egress.SegmentBytes(), len(b))
		if !f.transfer.Await(n, w.failed) {
			w.recordUnsent(len(b))
			return w.failure()
		}
		if err := w.write(b[:n]); err != nil {
			w.recordUnsent(len(b) - n)
			return err
		}
		b = b[n:]
	}
	return nil
}

// failure returns the error that fail was called with.
func (w *writer) failure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

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
	endPos   uint64 // stream position after the frame
	transfer *egress.Transfer
}

// queuedLocked returns the number of queued bytes.
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
	w.queueFrameLocked(frame, due)
	return nil
}

// queueFrameLocked queues a frame, which it keeps, and returns its stream position.
func (w *writer) queueFrameLocked(frame []byte, due clock.Time) uint64 {
	start := w.endPos
	w.endPos += uint64(len(frame))
	f := queuedFrame{b: frame, endPos: w.endPos}
	if len(frame) > unscheduledFrame {
		f.transfer = w.egress.Queue(len(frame), due)
	}
	w.frames = append(w.frames, f)
	if len(w.frames) == 1 {
		w.signal()
	}
	return start
}

// dropResponse removes the queued large response with the given id, whose receiver no longer
// waits for it. A response whose sending has begun stays, and so does a small one: the receiver
// may wait for it to know whether the request was run.
func (w *writer) dropResponse(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeFrameLocked(wire.KindResponse, id, unscheduledFrame)
}

// withdrawScheduled is withdraw for a connection whose frames are scheduled. The cancel frame
// passes the queued frames: large ones would hold it up for seconds.
func (w *writer) withdrawScheduled(id uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil || w.removeFrameLocked(wire.KindRequest, id, 0) {
		return w.err == nil
	}
	frame, err := wire.AppendRaw(nil, wire.KindCancel, id, nil, w.maxFrame)
	if err != nil {
		return false
	}
	w.frames = slices.Insert(w.frames, 0, queuedFrame{b: frame, endPos: w.submitted})
	w.signal()
	return false
}

// removeFrameLocked removes a queued frame above a size whose sending has not begun, and
// reports whether there was one.
func (w *writer) removeFrameLocked(kind wire.Kind, id uint64, above int) bool {
	for i := range w.frames {
		if frameKind, frameID := wire.KindAndID(w.frames[i].b); frameKind == kind && frameID == id && len(w.frames[i].b) > above {
			w.frames[i].end()
			w.frames = slices.Delete(w.frames, i, i+1)
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

// end removes the frame from the backlog of the link.
func (f *queuedFrame) end() {
	if f.transfer != nil {
		f.transfer.End()
	}
}

// takeFrame removes the first queued frame. It returns false if there is none.
func (w *writer) takeFrame() (f queuedFrame, ok bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil || len(w.frames) == 0 {
		return queuedFrame{}, false, w.err
	}
	f = w.frames[0]
	w.frames = w.frames[1:]
	w.submitted = f.endPos
	return f, true, nil
}

// runScheduled is run for a connection whose frames are scheduled.
func (w *writer) runScheduled(count func(bytes int)) error {
	for range w.wake {
		for {
			f, ok, err := w.takeFrame()
			if err != nil {
				return err
			}
			if !ok {
				break
			}
			if err := w.writeScheduled(&f); err != nil {
				return err
			}
			count(len(f.b))
		}
	}
	return nil
}

// writeScheduled writes a frame, in segments if it is large.
func (w *writer) writeScheduled(f *queuedFrame) error {
	if f.transfer == nil {
		w.egress.Sent(len(f.b))
		return w.write(f.b)
	}
	defer f.transfer.End()
	for b := f.b; len(b) > 0; {
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

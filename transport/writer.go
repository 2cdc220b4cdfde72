package transport

import (
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/parsleystack/parsleystack/wire"
)

const keptBuffer = 64 << 10 // bytes of a write buffer that is kept in any case

// maxHardlyUsed is the number of batches after which a large buffer is given up.
const maxHardlyUsed = 256

// writer collects frames and writes all that wait with one system call.
type writer struct {
	conn    net.Conn
	timeout time.Duration
	maxSize int // bytes that may wait
	limit   int // bytes of a frame

	wake chan struct{}

	mu      sync.Mutex
	pending []byte
	end     uint64 // stream position after pending
	handed  uint64 // stream position up to which bytes went to the socket
	err     error
}

func newWriter(conn net.Conn, cfg *Config) *writer {
	return &writer{conn: conn, timeout: cfg.WriteTimeout, maxSize: cfg.MaxBacklog, limit: cfg.MaxFrame, wake: make(chan struct{}, 1)}
}

// frame encodes and appends a frame. If it returns an error, no byte of the
// frame was or will be written.
func (w *writer) frame(kind wire.Kind, id uint64, m msgp.Marshaler) error {
	s := newScratch()
	defer s.free()
	if err := s.encode(kind, id, m, w.limit); err != nil {
		return err
	}
	_, err := w.encoded(s.b)
	return err
}

// encoded appends a whole frame and returns its position in the stream, with
// the same error as frame.
func (w *writer) encoded(frame []byte) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.ready(); err != nil {
		return 0, err
	}
	before := len(w.pending)
	w.pending = append(w.pending, frame...)
	return w.appended(before, nil)
}

// raw is frame for a body that is encoded already.
func (w *writer) raw(kind wire.Kind, id uint64, body []byte) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.ready(); err != nil {
		return 0, err
	}
	before := len(w.pending)
	pending, err := wire.AppendRaw(w.pending, kind, id, body, w.limit)
	w.pending = pending
	return w.appended(before, err)
}

func (w *writer) ready() error {
	if w.err != nil {
		return w.err
	}
	if len(w.pending) > w.maxSize {
		return ErrBacklog
	}
	return nil
}

func (w *writer) appended(before int, err error) (uint64, error) {
	if err != nil {
		return 0, err
	}
	start := w.end
	w.end += uint64(len(w.pending) - before)
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

// written reports whether bytes of the frame at the given position may have
// reached the peer. It is meaningful after fail.
func (w *writer) written(position uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return position < w.handed
}

// fail makes every later frame fail and stops run.
func (w *writer) fail(err error) {
	w.mu.Lock()
	if w.err == nil {
		w.err = err
	}
	w.mu.Unlock()
	w.signal()
}

// take returns all pending bytes and leaves spare as the next buffer.
func (w *writer) take(spare []byte) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return nil, w.err
	}
	batch := w.pending
	w.pending = spare[:0]
	w.handed = w.end
	return batch, nil
}

// run writes frames until fail is called or a write fails, and returns the
// error.
func (w *writer) run(count func(bytes int)) error {
	var spare []byte
	var keeper bufferKeeper
	for range w.wake {
		runtime.Gosched() // lets frames that are being made join the batch
		batch, err := w.take(spare)
		if err != nil {
			return err
		}
		if len(batch) == 0 {
			spare = batch
			continue
		}
		if err := w.write(batch); err != nil {
			return err
		}
		count(len(batch))
		spare = keeper.keep(batch)
	}
	return nil
}

// bufferKeeper decides which write buffers are reused: a large one that was
// hardly used several times in a row is given up.
type bufferKeeper struct {
	hardlyUsed int
}

func (k *bufferKeeper) keep(batch []byte) []byte {
	if cap(batch) <= keptBuffer || len(batch) >= cap(batch)/4 {
		k.hardlyUsed = 0
		return batch
	}
	k.hardlyUsed++
	if k.hardlyUsed < maxHardlyUsed {
		return batch
	}
	k.hardlyUsed = 0
	return nil
}

func (w *writer) write(batch []byte) error {
	if err := w.conn.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return err
	}
	_, err := w.conn.Write(batch)
	return err
}

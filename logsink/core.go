package logsink

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// urgentQueueSize and routineQueueSize are the capacities of the queues in
	// lines.
	urgentQueueSize  = 4096
	routineQueueSize = 1024
	// maxLinesPerS is the limit of lines per second of one event. It is about the
	// rate of refused requests at one daemon under load.
	maxLinesPerS = 150
	// maxQueuedBytes bounds the lines that wait to be written. A line takes some 300 bytes, so
	// it holds more than both queues unless lines are long.
	maxQueuedBytes = 2 << 20
	// maxFieldBytes is the size in bytes up to which a text of a line is written. Callers choose
	// ids and paths of several kilobytes.
	maxFieldBytes = 512
	// eventField is the log field that holds the number of the event.
	eventField = "event"
)

// Core is a zapcore.Core that writes asynchronously. Cores made by With share
// its queues.
type Core struct {
	zapcore.LevelEnabler
	encoder zapcore.Encoder
	sink    *sink
}

// sink holds the queues, the rate limit and the count of dropped lines.
type sink struct {
	urgent  chan []byte
	routine chan []byte
	dropped atomic.Uint64
	queued  atomic.Int64 // bytes of the lines in both queues
	out     zapcore.WriteSyncer
	stop    chan struct{}
	done    chan struct{}

	mu     sync.Mutex
	second int64
	lines  map[int64]int // lines per event in the current second
}

// New returns a core that writes to out until Close is called.
func New(encoder zapcore.Encoder, out zapcore.WriteSyncer, level zapcore.LevelEnabler) *Core {
	s := &sink{
		urgent: make(chan []byte, urgentQueueSize), routine: make(chan []byte, routineQueueSize),
		out: out, stop: make(chan struct{}), done: make(chan struct{}), lines: make(map[int64]int),
	}
	go s.run()
	return &Core{LevelEnabler: level, encoder: encoder, sink: s}
}

// With implements zapcore.Core.
func (c *Core) With(fields []zapcore.Field) zapcore.Core {
	e := c.encoder.Clone()
	for i := range fields {
		fields[i].AddTo(e)
	}
	return &Core{LevelEnabler: c.LevelEnabler, encoder: e, sink: c.sink}
}

// Check implements zapcore.Core.
func (c *Core) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write implements zapcore.Core. It never blocks.
func (c *Core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	if !c.sink.allow(e.Time, eventOf(fields)) {
		c.sink.dropped.Add(1)
		return nil
	}
	buf, err := c.encoder.EncodeEntry(e, shorten(fields))
	if err != nil {
		return err
	}
	line := append([]byte(nil), buf.Bytes()...)
	buf.Free()
	queue := c.sink.urgent
	if e.Level < zapcore.InfoLevel {
		queue = c.sink.routine
	}
	c.sink.enqueue(queue, line)
	return nil
}

// shorten returns fields whose texts have at most maxFieldBytes. It does not change its
// argument.
func shorten(fields []zapcore.Field) []zapcore.Field {
	copied := false
	for i := range fields {
		short, ok := shortened(&fields[i])
		if !ok {
			continue
		}
		if !copied {
			fields, copied = slices.Clone(fields), true
		}
		fields[i] = short
	}
	return fields
}

// shortened returns a field with a shorter text, or false if the field may stay as it is.
func shortened(f *zapcore.Field) (short zapcore.Field, ok bool) {
	text := ""
	switch f.Type {
	case zapcore.StringType:
		text = f.String
	case zapcore.ByteStringType:
		if b, isBytes := f.Interface.([]byte); isBytes && len(b) > maxFieldBytes {
			text = string(b[:maxFieldBytes+1])
		}
	case zapcore.ErrorType:
		if err, isError := f.Interface.(error); isError && err != nil {
			text = err.Error()
		}
	}
	if len(text) <= maxFieldBytes {
		return zapcore.Field{}, false
	}
	return zapcore.Field{Key: f.Key, Type: zapcore.StringType, String: text[:maxFieldBytes]}, true
}

// enqueue adds a line to a queue, or drops it if there is no room.
func (s *sink) enqueue(queue chan<- []byte, line []byte) {
	if s.queued.Add(int64(len(line))) <= maxQueuedBytes {
		select {
		case queue <- line:
			return
		default:
		}
	}
	s.queued.Add(-int64(len(line)))
	s.dropped.Add(1)
}

// Sync implements zapcore.Core. It does nothing, since lines are written
// asynchronously; Close waits for them.
func (c *Core) Sync() error { return nil }

// TakeDropped returns the number of lines dropped since it was last called.
func (c *Core) TakeDropped() uint64 { return c.sink.dropped.Swap(0) }

// Close stops the core. It waits for at most the given time until all queued
// lines are written.
func (c *Core) Close(within time.Duration) {
	close(c.sink.stop)
	t := time.NewTimer(within)
	defer t.Stop()
	select {
	case <-c.sink.done:
	case <-t.C:
	}
}

func eventOf(fields []zapcore.Field) int64 {
	for i := range fields {
		if fields[i].Key == eventField {
			return fields[i].Integer
		}
	}
	return 0
}

// allow counts a line of an event and reports whether it is within the rate
// limit.
func (s *sink) allow(at time.Time, event int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := at.Unix(); second != s.second {
		s.second = second
		clear(s.lines)
	}
	s.lines[event]++
	return s.lines[event] <= maxLinesPerS
}

func (s *sink) run() {
	defer close(s.done)
	for {
		line, ok := s.next()
		if !ok {
			return
		}
		s.queued.Add(-int64(len(line)))
		_, _ = s.out.Write(line) // there is no other place to report an error
	}
}

// next returns the next line, urgent ones first. After Close it returns the
// remaining lines, then false.
func (s *sink) next() ([]byte, bool) {
	select {
	case line := <-s.urgent:
		return line, true
	default:
	}
	select {
	case line := <-s.urgent:
		return line, true
	case line := <-s.routine:
		return line, true
	case <-s.stop:
	}
	select {
	case line := <-s.urgent:
		return line, true
	case line := <-s.routine:
		return line, true
	default:
		return nil, false
	}
}

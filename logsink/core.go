package logsink

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// urgentQueue and routineQueue are the numbers of lines that may wait.
	urgentQueue  = 4096
	routineQueue = 1024
	// linesPerS is the number of lines a second of one event: about the refused
	// requests of one daemon under load.
	linesPerS = 150
	// eventField is the field that tells the kinds of events apart.
	eventField = "event"
)

// Core is a zapcore.Core over a queue. Cores made by With share it.
type Core struct {
	zapcore.LevelEnabler
	encoder zapcore.Encoder
	sink    *sink
}

// sink is the queue and what was dropped.
type sink struct {
	urgent  chan []byte
	routine chan []byte
	dropped atomic.Uint64
	out     zapcore.WriteSyncer
	stop    chan struct{}
	done    chan struct{}

	mu     sync.Mutex
	second int64
	lines  map[int64]int // of each event in this second
}

// New returns a core that writes to out until Close.
func New(encoder zapcore.Encoder, out zapcore.WriteSyncer, level zapcore.LevelEnabler) *Core {
	s := &sink{
		urgent: make(chan []byte, urgentQueue), routine: make(chan []byte, routineQueue),
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
	buf, err := c.encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	line := append([]byte(nil), buf.Bytes()...)
	buf.Free()
	queue := c.sink.urgent
	if e.Level < zapcore.InfoLevel {
		queue = c.sink.routine
	}
	select {
	case queue <- line:
	default:
		c.sink.dropped.Add(1)
	}
	return nil
}

// Sync implements zapcore.Core. Lines are on their way; Close waits for them.
func (c *Core) Sync() error { return nil }

// TakeDropped returns the number of lines dropped since it was last called.
func (c *Core) TakeDropped() uint64 { return c.sink.dropped.Swap(0) }

// Close writes what waits, for at most the given time, and ends the writing.
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

// allow counts a line of an event and reports whether it is within its number.
func (s *sink) allow(at time.Time, event int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := at.Unix(); second != s.second {
		s.second = second
		clear(s.lines)
	}
	s.lines[event]++
	return s.lines[event] <= linesPerS
}

func (s *sink) run() {
	defer close(s.done)
	for {
		line, ok := s.next()
		if !ok {
			return
		}
		_, _ = s.out.Write(line) // there is nowhere else to report to
	}
}

// next returns the next line, urgent ones first. After the stop it returns what
// still waits.
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

package logtest

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/platformlog"
)

// Log is an in-memory log service. It is safe for concurrent use.
type Log struct {
	options Options

	mu      sync.Mutex
	faults  Faults
	streams map[platformlog.Stream]*stream
	pending []pendingAppend
	limiter *limiter
	random  *rand.Rand
	stats   Stats
	changed chan struct{} // closed and replaced whenever waiting reads must check the stream again
}

// pendingAppend is an append that takes effect at a later time.
type pendingAppend struct {
	due     time.Time
	stream  platformlog.Stream
	payload []byte
}

var _ platformlog.Log = (*Log)(nil)

// New returns an empty log.
func New(options Options) *Log {
	options = options.withDefaults()
	return &Log{
		options: options,
		streams: map[platformlog.Stream]*stream{},
		limiter: newLimiter(options.AppendRate, options.Now()),
		random:  rand.New(rand.NewPCG(options.Seed, 0)),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults that the log injects.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.wakeLocked()
}

// Faults returns the faults that the log injects.
func (l *Log) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Wake makes waiting reads check the log and its clock again.
func (l *Log) Wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceLocked()
	l.wakeLocked()
}

// Stats returns the counters.
func (l *Log) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceLocked()
	s := l.stats
	s.Streams = uint64(len(l.streams))
	s.PendingAppends = uint64(len(l.pending))
	for _, st := range l.streams {
		s.RecordsKept += uint64(len(st.records))
	}
	return s
}

// advanceLocked applies late appends that are due and expires old records.
func (l *Log) advanceLocked() {
	now := l.options.Now()
	kept := l.pending[:0]
	for _, p := range l.pending {
		if p.due.After(now) {
			kept = append(kept, p)
			continue
		}
		l.storeLocked(now, p.stream, p.payload)
		l.stats.LateAppends++
	}
	l.pending = kept
	for _, s := range l.streams {
		s.expire(now, l.options)
	}
}

func (l *Log) storeLocked(now time.Time, name platformlog.Stream, payload []byte) platformlog.Offset {
	s := l.streams[name]
	if s == nil {
		s = newStream()
		l.streams[name] = s
	}
	offset := s.append(now, payload)
	s.expire(now, l.options)
	l.stats.Appends++
	l.stats.AppendBytes += uint64(len(payload))
	l.wakeLocked()
	return offset
}

func (l *Log) wakeLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// chanceLocked returns true with probability ratio.
func (l *Log) chanceLocked(ratio float64) bool {
	return ratio > 0 && l.random.Float64() < ratio
}

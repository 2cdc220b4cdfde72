package bench

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMin    = int64(time.Microsecond)
	histogramMax    = int64(2 * time.Minute)
	histogramDigits = 3
)

// statKey names one row of the report.
type statKey struct {
	op    int
	class Class
}

// recorder collects the samples of one generator.
type recorder struct {
	mu       sync.Mutex
	rows     map[statKey]*row
	timeline map[timelineKey]*Second
	wrong    uint64
	torn     uint64
	fates    []Fate
}

// row is the latency of one kind of outcome of one operation.
type row struct {
	latency *hdrhistogram.Histogram
	noRetry uint64 // answers without Retry-After
	inTime  uint64 // done within the operation's timeout
}

type timelineKey struct {
	second int
	op     int
}

// Second counts the outcomes of the requests of one operation that were
// scheduled within one second of the run.
type Second struct {
	Done, NotRun, Unknown uint64
	MaxLatency            time.Duration
}

func newRecorder() *recorder {
	return &recorder{rows: map[statKey]*row{}, timeline: map[timelineKey]*Second{}}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

// record takes in a sample, and the fate of the request if the judge needs it.
func (r *recorder) record(s sample, fate *Fate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := statKey{op: s.op, class: s.class}
	rw := r.rows[key]
	if rw == nil {
		rw = &row{latency: newHistogram()}
		r.rows[key] = rw
	}
	_ = rw.latency.RecordValue(min(max(int64(s.latency), histogramMin), histogramMax))
	if !s.retry {
		rw.noRetry++
	}
	if s.inTime {
		rw.inTime++
	}
	switch s.answer {
	case answerWrong:
		r.wrong++
	case answerTorn:
		r.torn++
	}
	if fate != nil {
		r.fates = append(r.fates, *fate)
	}
	r.second(s).add(s)
}

func (r *recorder) second(s sample) *Second {
	key := timelineKey{second: int(s.scheduled / time.Second), op: s.op}
	sec := r.timeline[key]
	if sec == nil {
		sec = &Second{}
		r.timeline[key] = sec
	}
	return sec
}

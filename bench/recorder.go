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

// statKey identifies one row of the report.
type statKey struct {
	op    int
	class Class
}

// recorder collects the samples of one generator.
type recorder struct {
	mu                 sync.Mutex
	stats              map[statKey]*outcomeStats
	timeline           map[timelineKey]*Counts
	unmatchedResponses uint64
	malformedResponses uint64
	outcomes           []RequestOutcome
}

// outcomeStats holds the statistics of one class of outcomes of one operation.
type outcomeStats struct {
	latency      *hdrhistogram.Histogram
	noRetryAfter uint64 // responses without Retry-After
	inTime       uint64 // done within the operation's timeout
}

type timelineKey struct {
	second int
	op     int
}

// Counts holds the outcomes of the requests of one operation that were scheduled
// within one second of the run.
type Counts struct {
	Done, NotRun, Unknown uint64
	MaxLatency            time.Duration
}

func newRecorder() *recorder {
	return &recorder{stats: map[statKey]*outcomeStats{}, timeline: map[timelineKey]*Counts{}}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

// record adds a sample, and the outcome to verify against the targets' records
// unless it is nil.
func (r *recorder) record(s sample, toVerify *RequestOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := statKey{op: s.op, class: s.class}
	st := r.stats[key]
	if st == nil {
		st = &outcomeStats{latency: newHistogram()}
		r.stats[key] = st
	}
	_ = st.latency.RecordValue(min(max(int64(s.latency), histogramMin), histogramMax))
	if !s.hasRetryAfter {
		st.noRetryAfter++
	}
	if s.inTime {
		st.inTime++
	}
	switch s.response {
	case responseUnmatched:
		r.unmatchedResponses++
	case responseMalformed:
		r.malformedResponses++
	}
	if toVerify != nil {
		r.outcomes = append(r.outcomes, *toVerify)
	}
	r.countsFor(s).add(s)
}

func (r *recorder) countsFor(s sample) *Counts {
	key := timelineKey{second: int(s.scheduled / time.Second), op: s.op}
	c := r.timeline[key]
	if c == nil {
		c = &Counts{}
		r.timeline[key] = c
	}
	return c
}

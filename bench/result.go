package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// sample is the end of one request.
type sample struct {
	op        int
	scheduled time.Duration // from the start of the run
	latency   time.Duration // from the scheduled time to the end of the answer
	class     Class
	answer    answerFault
	retry     bool // Retry-After was present
	inTime    bool // done within the operation's timeout
}

// answerFault is what is wrong with a whole answer.
type answerFault uint8

const (
	answerRight answerFault = iota
	answerWrong             // the answer of another request
	answerTorn              // not a whole answer body
)

// Fate is what a caller knows of one request that the judge looks up.
type Fate struct {
	ID         string
	Op         string
	Idempotent bool
	Class      Class
}

// Row is the report of one kind of outcome of one operation.
type Row struct {
	Op      string
	Class   Class
	Count   uint64
	InTime  uint64 // done within the operation's timeout
	NoRetry uint64 // answers without Retry-After
	Latency *hdrhistogram.Histogram
}

// TimelineRow counts the requests of one operation that were scheduled within
// one second of the run.
type TimelineRow struct {
	At     int // second of the run
	Op     string
	Counts Second
}

// Result is the report of one variant.
type Result struct {
	Name     string
	Duration time.Duration // scheduled length of all rounds
	Rounds   int
	Rows     []Row         // ordered by operation and outcome
	Timeline []TimelineRow // ordered by second and operation
	Wrong    uint64        // answers of other requests
	Torn     uint64        // answers that were not whole
	Lag      *hdrhistogram.Histogram
	Fates    []Fate
	ToolCPU  time.Duration // processor time of this process
	CPU      []ProcessCPU  // processor time of the watched processes
}

// ProcessCPU is the use of one watched process during the run.
type ProcessCPU struct {
	Label    string
	CPU      time.Duration
	RSSBytes uint64 // at the end
}

// Count returns the number of requests.
func (r *Result) Count() uint64 {
	var n uint64
	for i := range r.Rows {
		n += r.Rows[i].Count
	}
	return n
}

package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// sample is the measurement of one request.
type sample struct {
	op            int
	scheduled     time.Duration // from the start of the run
	latency       time.Duration // from the scheduled time to the end of the response
	class         Class
	response      responseStatus
	hasRetryAfter bool // Retry-After was present
	inTime        bool // done within the operation's timeout
}

// responseStatus is the result of checking the body of a response.
type responseStatus uint8

const (
	responseOK        responseStatus = iota
	responseUnmatched                // the response belongs to another request
	responseMalformed                // the body is truncated or malformed
)

// RequestOutcome is the outcome of one request as its caller saw it. It is
// verified against the records of the targets.
type RequestOutcome struct {
	ID         string
	Op         string
	Idempotent bool
	Class      Class
}

// Row is the report of one class of outcomes of one operation.
type Row struct {
	Op           string
	Class        Class
	Count        uint64
	InTime       uint64 // done within the operation's timeout
	NoRetryAfter uint64 // responses without Retry-After
	Latency      *hdrhistogram.Histogram
}

// TimelineRow counts the requests of one operation that were scheduled within
// one second of the run.
type TimelineRow struct {
	Second int // second of the run
	Op     string
	Counts Counts
}

// Result is the report of one variant.
type Result struct {
	Name               string
	Duration           time.Duration // scheduled length of all rounds
	Rounds             int
	Rows               []Row                   // ordered by operation and outcome
	Timeline           []TimelineRow           // ordered by second and operation
	UnmatchedResponses uint64                  // responses to other requests
	MalformedResponses uint64                  // responses that were truncated or malformed
	Lag                *hdrhistogram.Histogram // delay of sends behind the schedule
	Outcomes           []RequestOutcome
	ToolCPU            time.Duration // CPU time of this process
	CPU                []ProcessCPU  // CPU time of the measured processes
}

// ProcessCPU is the resource usage of one measured process.
type ProcessCPU struct {
	Label    string
	CPU      time.Duration // CPU time during the run
	RSSBytes uint64        // resident memory at the end of the run
}

// Count returns the number of requests.
func (r *Result) Count() uint64 {
	var n uint64
	for i := range r.Rows {
		n += r.Rows[i].Count
	}
	return n
}

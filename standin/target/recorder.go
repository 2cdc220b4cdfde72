package target

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"
)

// notRecorded is the index of a run that is not recorded.
const notRecorded = -1

// recorder stores the runs of a target in memory and writes them to its
// journal.
type recorder struct {
	mode    string
	limit   int
	journal io.Writer // may be nil

	mu         sync.Mutex
	runs       []Run
	dropped    uint64
	duplicates uint64
	seen       map[string]struct{} // idempotency keys of mutating runs
}

func newRecorder(config Config) *recorder {
	return &recorder{
		mode:    config.Record,
		limit:   config.RecordLimit,
		journal: config.Journal,
		seen:    map[string]struct{}{},
	}
}

// shouldRecord reports whether requests of method are recorded.
func (r *recorder) shouldRecord(method string) bool {
	return r.mode == RecordAll || r.mode == RecordMutating && mutating(method)
}

// start records the start of a run and returns its index.
func (r *recorder) start(run Run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run.Mutating() && run.IdempotencyKey != "" {
		if _, ok := r.seen[run.IdempotencyKey]; ok {
			r.duplicates++
		}
		r.seen[run.IdempotencyKey] = struct{}{}
	}
	if len(r.runs) >= r.limit {
		r.dropped++
		return notRecorded
	}
	run.Seq = len(r.runs)
	r.runs = append(r.runs, run)
	r.writeJournal(&run)
	return run.Seq
}

// end records the end of a run.
func (r *recorder) end(index int, now int64, completed bool) {
	if index == notRecorded {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[index].End = now
	r.runs[index].Completed = completed
	r.writeJournal(&r.runs[index])
}

// writeJournal writes the state of a run as one line with a single write, so
// that complete lines remain if the process is killed.
func (r *recorder) writeJournal(run *Run) {
	if r.journal == nil {
		return
	}
	line, err := json.Marshal(run)
	if err == nil {
		_, err = r.journal.Write(append(line, '\n'))
	}
	if err != nil {
		panic("target: write the journal of runs: " + err.Error())
	}
}

// snapshot returns a copy of the runs without the first n.
func (r *recorder) snapshot(n int) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs[min(n, len(r.runs)):]...)
}

// counts returns the number of runs that were not recorded because the record
// limit was reached, and the number of mutating runs whose idempotency key had
// run before.
func (r *recorder) counts() (dropped, duplicates uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped, r.duplicates
}

// writeRuns writes runs as one JSON object per line.
func writeRuns(w io.Writer, runs []Run, mutatingOnly bool) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for i := range runs {
		if mutatingOnly && !runs[i].Mutating() {
			continue
		}
		if err := encoder.Encode(&runs[i]); err != nil {
			return err
		}
	}
	return buffered.Flush()
}

package runcalls

import (
	"iter"
	"slices"

	"github.com/parsleystack/parsleystack/clock"
)

// Run is a request that the target runs.
type Run struct {
	Priority uint8      // larger values are more urgent
	Deadline clock.Time // time after which nobody waits for its response
}

// Table holds the requests that a target runs, by request id.
type Table struct {
	runs map[string][]Run // several if copies of one request run at a time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{runs: make(map[string][]Run)} }

// Begin adds a run. A request without an id is not added: no call can name it.
func (t *Table) Begin(id []byte, run Run) {
	if len(id) > 0 {
		t.runs[string(id)] = append(t.runs[string(id)], run)
	}
}

// End removes a run that Begin has added. It has no effect if there is none.
func (t *Table) End(id []byte, run Run) {
	runs := t.runs[string(id)]
	i := slices.Index(runs, run)
	if i < 0 {
		return
	}
	if len(runs) == 1 {
		delete(t.runs, string(id))
		return
	}
	t.runs[string(id)] = slices.Delete(runs, i, i+1)
}

// Find returns the run that makes a call, which is the first of the ids that runs at the
// moment. Of several copies it returns the least urgent, so that the call claims no more than
// it is due.
func (t *Table) Find(ids iter.Seq[string]) (Run, bool) {
	if len(t.runs) == 0 {
		return Run{}, false
	}
	for id := range ids {
		if runs := t.runs[id]; len(runs) > 0 {
			return slices.MinFunc(runs, func(x, y Run) int {
				if x.Priority != y.Priority {
					return int(x.Priority) - int(y.Priority)
				}
				return int(min(max(y.Deadline.Sub(x.Deadline), -1), 1)) // the later deadline first
			}), true
		}
	}
	return Run{}, false
}

// Len returns the number of request ids.
func (t *Table) Len() int { return len(t.runs) }

package bench

import (
	"fmt"
	"slices"

	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/standin/target"
)

// Violation kinds.
const (
	DoubleRun         = "double-run"       // a request that may not be repeated ran more than once
	RanDespiteNotRun  = "not-run-that-ran" // a request that was answered not-run was run by a target
	DoneWithoutRun    = "done-without-run" // a request that was answered done was completed by no target
	TwoOwners         = "two-owners"       // two targets ran requests of one key at the same time
	UnmatchedResponse = "wrong-answer"     // responses belonged to other requests
	MalformedResponse = "torn-answer"      // responses were truncated or malformed
)

// Violation is one violation of a guarantee.
type Violation struct {
	Kind   string
	ID     string // request id; service/key for TwoOwners; variant for UnmatchedResponse and MalformedResponse
	Detail string
}

func (v Violation) String() string { return v.Kind + " " + v.ID + ": " + v.Detail }

// History holds what callers and targets recorded during a run.
type History struct {
	Outcomes []RequestOutcome
	Runs     []target.Run
	// Complete reports that the records of all targets were read to the end.
	// Otherwise the record of a done request may be missing, and DoneWithoutRun
	// is not checked.
	Complete bool
	// DividedByKey enables the check that a key has one owner at a time.
	DividedByKey bool
}

// Verify returns the violations that the history shows.
func Verify(h History) []Violation {
	violations := verifyRuns(h.Runs, h.DividedByKey)
	return append(violations, verifyOutcomes(h.Outcomes, runsByID(h.Runs), h.Complete)...)
}

// verifyRuns checks the records of all targets against each other.
func verifyRuns(runs []target.Run, divided bool) []Violation {
	violations := findDoubleRuns(runs)
	if divided {
		violations = append(violations, findTwoOwners(runs)...)
	}
	return violations
}

// verifyOutcomes checks the outcomes that callers saw against the records of the
// targets.
func verifyOutcomes(outcomes []RequestOutcome, runs map[string][]*target.Run, complete bool) []Violation {
	var violations []Violation
	for i := range outcomes {
		violations = append(violations, verifyOutcome(&outcomes[i], runs, complete)...)
	}
	return violations
}

func runsByID(runs []target.Run) map[string][]*target.Run {
	byID := make(map[string][]*target.Run, len(runs))
	for i := range runs {
		byID[runs[i].ID] = append(byID[runs[i].ID], &runs[i])
	}
	return byID
}

// findDoubleRuns finds mutating requests that ran more than once. Runs are
// compared by idempotency key, since a retry by the caller has the same key.
func findDoubleRuns(runs []target.Run) []Violation {
	first := map[string]*target.Run{}
	var violations []Violation
	for i := range runs {
		r := &runs[i]
		if !r.Mutating() || r.IdempotencyKey == "" {
			continue
		}
		if earlier, ok := first[r.IdempotencyKey]; ok {
			detail := fmt.Sprintf("%s %s ran at %s (token %s) and %s (token %s)", r.Method, r.Path, earlier.Target, earlier.Token, r.Target, r.Token)
			violations = append(violations, Violation{Kind: DoubleRun, ID: r.ID, Detail: detail})
			continue
		}
		first[r.IdempotencyKey] = r
	}
	return violations
}

func verifyOutcome(o *RequestOutcome, runs map[string][]*target.Run, complete bool) []Violation {
	ran := runs[o.ID]
	switch {
	case o.Class.Kind == outcome.NotRun && len(ran) > 0:
		detail := fmt.Sprintf("%s was answered not-run (%s) but ran at %s", o.Op, o.Class.Reason, ran[0].Target)
		return []Violation{{Kind: RanDespiteNotRun, ID: o.ID, Detail: detail}}
	case o.Class == Class{Kind: outcome.Done} && complete && !o.Idempotent && !anyCompleted(ran):
		detail := o.Op + " was answered done but no target completed it"
		return []Violation{{Kind: DoneWithoutRun, ID: o.ID, Detail: detail}}
	}
	return nil
}

func anyCompleted(runs []*target.Run) bool {
	return slices.ContainsFunc(runs, func(r *target.Run) bool { return r.Completed })
}

package bench

import (
	"fmt"
	"slices"

	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/standin/target"
)

// Violation kinds.
const (
	DoubleRun      = "double-run"       // a request that may not be repeated ran more than once
	RanThoughNot   = "not-run-that-ran" // the caller was told that it did not run
	DoneWithoutRun = "done-without-run" // the caller was told that it is done, but no target completed it
	TwoOwners      = "two-owners"       // two targets worked for one key at the same time
	WrongAnswer    = "wrong-answer"
	TornAnswer     = "torn-answer"
)

// Violation is one broken promise.
type Violation struct {
	Kind   string
	ID     string // request id, or the key with TwoOwners
	Detail string
}

func (v Violation) String() string { return v.Kind + " " + v.ID + ": " + v.Detail }

// Evidence is what callers and targets recorded.
type Evidence struct {
	Fates []Fate
	Runs  []target.Run
	// Complete means that the records of all targets were read to the end.
	// Without it a done request may lack its record.
	Complete bool
	// DividedByKey lets the judge check that a key has one owner at a time.
	DividedByKey bool
}

// Judge returns the promises that the evidence shows to be broken.
func Judge(e Evidence) []Violation {
	violations := judgeRuns(e.Runs, e.DividedByKey)
	return append(violations, judgeFates(e.Fates, runsByID(e.Runs), e.Complete)...)
}

// judgeRuns judges the records of the targets among themselves.
func judgeRuns(runs []target.Run, divided bool) []Violation {
	violations := judgeDoubleRuns(runs)
	if divided {
		violations = append(violations, judgeOwners(runs)...)
	}
	return violations
}

// judgeFates judges what callers were told by the records of the targets.
func judgeFates(fates []Fate, runs map[string][]*target.Run, complete bool) []Violation {
	var violations []Violation
	for i := range fates {
		violations = append(violations, judgeFate(&fates[i], runs, complete)...)
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

// judgeDoubleRuns finds mutating requests that ran twice, by their idempotency
// key, which a caller's own repeat shares.
func judgeDoubleRuns(runs []target.Run) []Violation {
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

func judgeFate(f *Fate, runs map[string][]*target.Run, complete bool) []Violation {
	ran := runs[f.ID]
	switch {
	case f.Class.Kind == outcome.NotRun && len(ran) > 0:
		detail := fmt.Sprintf("%s was answered not-run (%s) but ran at %s", f.Op, f.Class.Reason, ran[0].Target)
		return []Violation{{Kind: RanThoughNot, ID: f.ID, Detail: detail}}
	case f.Class == Class{Kind: outcome.Done} && complete && !f.Idempotent && !completed(ran):
		detail := f.Op + " was answered done but no target completed it"
		return []Violation{{Kind: DoneWithoutRun, ID: f.ID, Detail: detail}}
	}
	return nil
}

func completed(runs []*target.Run) bool {
	return slices.ContainsFunc(runs, func(r *target.Run) bool { return r.Completed })
}

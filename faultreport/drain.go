package faultreport

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/faultplan"
	"github.com/parsleystack/parsleystack/standin/target"
)

// drainWindow is the time around a run in which another fault may have
// interrupted it.
const drainWindow = 3 * time.Second

// Drains counts planned stops.
type Drains struct {
	Ordered, Refused, Finished int
	Longest                    time.Duration // from the order to the end of the daemon
	LastWork                   time.Duration // from the order to the start of the last request at the target
}

func drains(in *Input) Drains {
	var d Drains
	ordered := map[string]time.Time{}
	for i, e := range in.Events {
		switch e.Kind {
		case string(faultplan.Drain):
			d.Ordered++
			ordered[e.Subject] = e.Time
			d.LastWork = max(d.LastWork, lastWork(in, i))
		case KindDrainRefused:
			d.Refused++
		case KindDrained:
			d.Finished++
			d.Longest = max(d.Longest, e.Time.Sub(ordered[e.Subject]))
		}
	}
	return d
}

// lastWork returns the time from a drain's order to the start of the last
// request at the target, 0 if there is none or the drain did not finish.
func lastWork(in *Input, order int) time.Duration {
	e := in.Events[order]
	end, drained := drainEnd(in.Events[order+1:], e.Subject)
	if !drained {
		return 0
	}
	var last time.Duration
	for i := range in.Runs {
		start := time.Unix(0, in.Runs[i].Start)
		if in.Runs[i].Target == e.Subject && start.Before(end) {
			last = max(last, start.Sub(e.Time))
		}
	}
	return last
}

// drainViolations finds requests that were in flight at a drained target and
// did not end, where no other fault explains it.
func drainViolations(in *Input, faults []Span) []Violation {
	var violations []Violation
	for i, e := range in.Events {
		if e.Kind != string(faultplan.Drain) {
			continue
		}
		end, drained := drainEnd(in.Events[i+1:], e.Subject)
		if !drained {
			continue
		}
		for j := range in.Runs {
			r := &in.Runs[j]
			if r.Target == e.Subject && cut(r, e.Time, end) && !explained(r, e, faults) {
				violations = append(violations, Violation{Kind: CutByDrain, Detail: fmt.Sprintf("%s %s %s of %s", r.ID, r.Method, r.Path, r.Target)})
			}
		}
	}
	return violations
}

func drainEnd(events []Event, instance string) (time.Time, bool) {
	for _, e := range events {
		if e.Subject == instance {
			return e.Time, e.Kind == KindDrained
		}
	}
	return time.Time{}, false
}

// cut reports whether the run was in flight within a drain and did not complete.
func cut(r *target.Run, from, to time.Time) bool {
	start := time.Unix(0, r.Start)
	if r.Completed || start.After(to) {
		return false
	}
	if r.End == 0 {
		return start.After(from.Add(-drainWindow))
	}
	end := time.Unix(0, r.End)
	return end.After(from)
}

func explained(r *target.Run, drain Event, faults []Span) bool {
	start := time.Unix(0, r.Start).Add(-drainWindow)
	end := time.Unix(0, max(r.Start, r.End)).Add(drainWindow)
	for _, f := range faults {
		isDrain := f.Kind == drain.Kind && f.Subject == drain.Subject && f.From.Equal(drain.Time)
		if !isDrain && f.Kind != string(faultplan.Log) && f.From.Before(end) && f.To.After(start) {
			return true
		}
	}
	return false
}

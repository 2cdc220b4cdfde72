package faultreport

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/faultplan"
	"github.com/parsleystack/parsleystack/standin/target"
)

// drainWindow is the time before and after the run of a request in which another
// fault may have interrupted it.
const drainWindow = 3 * time.Second

// Drains summarizes the drains of instances.
type Drains struct {
	Requested, Refused, Finished int
	Longest                      time.Duration // from the drain command to the exit of the daemon
	LastRequestStart             time.Duration // from the drain command to the start of the last request at the target
}

func drains(in *Input) Drains {
	var d Drains
	requested := map[string]time.Time{}
	for i, e := range in.Events {
		switch e.Kind {
		case string(faultplan.Drain):
			d.Requested++
			requested[e.Subject] = e.Time
			d.LastRequestStart = max(d.LastRequestStart, lastRequestStart(in, i))
		case KindDrainRefused:
			d.Refused++
		case KindDrained:
			d.Finished++
			d.Longest = max(d.Longest, e.Time.Sub(requested[e.Subject]))
		}
	}
	return d
}

// lastRequestStart returns the time from the drain command at index command of
// in.Events to the start of the last request at the target. It returns 0 if there
// was no such request or the drain did not finish.
func lastRequestStart(in *Input, command int) time.Duration {
	e := in.Events[command]
	end, drained := drainEnd(in.Events[command+1:], e.Subject)
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

// drainViolations returns the requests that were in progress at a target while it
// was drained and did not complete, unless another fault explains the failure.
func drainViolations(in *Input, faults []FaultSpan) []Violation {
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
			if r.Target == e.Subject && interruptedByDrain(r, e.Time, end) && !explainedByOtherFault(r, e, faults) {
				violations = append(violations, Violation{Kind: CutByDrain, Detail: fmt.Sprintf("%s %s %s of %s", r.ID, r.Method, r.Path, r.Target)})
			}
		}
	}
	return violations
}

// drainEnd returns the time of the instance's next event after its drain command,
// and whether this event is the end of the drain.
func drainEnd(events []Event, instance string) (time.Time, bool) {
	for _, e := range events {
		if e.Subject == instance {
			return e.Time, e.Kind == KindDrained
		}
	}
	return time.Time{}, false
}

// interruptedByDrain reports whether the request was in progress during the
// drain and did not complete.
func interruptedByDrain(r *target.Run, from, to time.Time) bool {
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

// explainedByOtherFault reports whether a fault other than the drain itself was
// active within drainWindow of the run. Faults of the log don't count.
func explainedByOtherFault(r *target.Run, drain Event, faults []FaultSpan) bool {
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

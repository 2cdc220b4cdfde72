package faultreport

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/faultplan"
)

// afterFault is the time after the end of a fault within which an outage
// counts as its effect.
const afterFault = 5 * time.Second

// noFault is the cause of outages that no fault explains.
const noFault = "none"

// Cause sums up the outages that began during faults of one kind, or shortly
// after.
type Cause struct {
	Kind string // of the newest fault of the cell, with "+log" if the log had a fault too
	Sum  Unavailable
}

// causes groups outages by the faults of the instances, the largest first.
func causes(all []Outage, faults []Span, instances []string) []Cause {
	var list []Cause
	for _, o := range all {
		kind := causeOf(o, faults, instances)
		i := slices.IndexFunc(list, func(c Cause) bool { return c.Kind == kind })
		if i < 0 {
			i = len(list)
			list = append(list, Cause{Kind: kind})
		}
		list[i].Sum.add(o)
	}
	slices.SortFunc(list, func(a, b Cause) int { return cmp.Compare(b.Sum.Total, a.Sum.Total) })
	return list
}

func causeOf(o Outage, faults []Span, instances []string) string {
	kind, log := noFault, ""
	var newest time.Time
	for _, f := range faults {
		if !f.From.Before(o.To) || o.From.After(f.To.Add(afterFault)) {
			continue
		}
		switch {
		case f.Kind == string(faultplan.Log):
			log = "+log"
		case slices.Contains(instances, f.Subject) && f.From.After(newest):
			kind, newest = f.Kind, f.From
		}
	}
	return kind + log
}

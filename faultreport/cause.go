package faultreport

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/faultplan"
)

// faultEffectWindow is the time after the end of a fault during which an
// outage is still attributed to it.
const faultEffectWindow = 5 * time.Second

// noFault is the cause reported for outages that no fault explains.
const noFault = "none"

// Cause is the sum of the outages attributed to faults of one kind: those that
// overlap such a fault or begin within faultEffectWindow after it.
type Cause struct {
	Kind string // kind of the latest fault of the cell, with "+log" if the log was faulty too
	Sum  Unavailability
}

// causes groups outages by the kind of the fault that they are attributed to, the
// largest total first. Only faults of the given instances and of the log count.
func causes(all []Outage, faults []FaultSpan, instances []string) []Cause {
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

func causeOf(o Outage, faults []FaultSpan, instances []string) string {
	kind, log := noFault, ""
	var newest time.Time
	for _, f := range faults {
		if !f.From.Before(o.To) || o.From.After(f.To.Add(faultEffectWindow)) {
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

package faultreport

import (
	"slices"

	"github.com/parsleystack/parsleystack/faultplan"
)

// FaultCount is the number of faults of one kind.
type FaultCount struct {
	Kind       string
	SingleLoss int
	DoubleLoss int // with two instances of the same cell failed at the same time
}

// Report holds the effects of a failure run on one deployment.
type Report struct {
	Input      *Input
	Faults     []FaultSpan
	Counts     []FaultCount
	Drains     Drains
	Publishes  Publishes
	Metrics    []ServiceMetrics
	Outages    []Outage
	Causes     []Cause
	Violations []Violation
}

// New computes the report of a run. probed is the name of the service whose keys
// the probes requested.
func New(in *Input, probed string) *Report {
	r := &Report{Input: in}
	r.Faults = faultSpans(in.Events, in.Start.Add(in.Length))
	r.Counts = countFaults(in.Events)
	r.Drains = drains(in)
	r.Publishes = publishes(in)
	for _, s := range in.Services {
		r.Metrics = append(r.Metrics, serviceMetrics(in, s))
		if s.Name == probed {
			r.Outages = outages(in.Probes, doubleLossesOf(r.Faults, s))
			r.Causes = causes(r.Outages, r.Faults, s.Instances)
		}
	}
	r.Violations = drainViolations(in, r.Faults)
	r.Violations = append(r.Violations, configViolations(in)...)
	return r
}

// countFaults counts the events that begin a fault, by kind, the most frequent
// first.
func countFaults(events []Event) []FaultCount {
	var counts []FaultCount
	for _, e := range events {
		_, instance := endKinds[e.Kind]
		isLog := e.Kind == string(faultplan.Log) && e.Detail != "{}"
		if !instance && !isLog && e.Kind != string(faultplan.Race) {
			continue
		}
		i := slices.IndexFunc(counts, func(c FaultCount) bool { return c.Kind == e.Kind })
		if i < 0 {
			i = len(counts)
			counts = append(counts, FaultCount{Kind: e.Kind})
		}
		if e.Detail == string(faultplan.DoubleLoss) {
			counts[i].DoubleLoss++
		} else {
			counts[i].SingleLoss++
		}
	}
	slices.SortFunc(counts, func(a, b FaultCount) int { return b.SingleLoss + b.DoubleLoss - a.SingleLoss - a.DoubleLoss })
	return counts
}

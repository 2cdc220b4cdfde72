package faultreport

import (
	"slices"

	"github.com/parsleystack/parsleystack/faultplan"
)

// FaultCount is the number of faults of one kind.
type FaultCount struct {
	Kind string
	One  int
	Two  int // of instances taken while another of the same cell was lost
}

// Report is what a run did to one deployment.
type Report struct {
	Input      *Input
	Faults     []Span
	Counts     []FaultCount
	Drains     Drains
	Publishes  Publishes
	Measures   []Measures
	Outages    []Outage
	Causes     []Cause
	Violations []Violation
}

// New works out the report of a run. The probed service names that whose keys
// the probes watch.
func New(in *Input, probed string) *Report {
	r := &Report{Input: in}
	r.Faults = spans(in.Events, in.Start.Add(in.Length))
	r.Counts = countFaults(in.Events)
	r.Drains = drains(in)
	r.Publishes = publishes(in)
	for _, s := range in.Services {
		r.Measures = append(r.Measures, measure(in, s))
		if s.Name == probed {
			r.Outages = outages(in.Probes, twosOf(r.Faults, s))
			r.Causes = causes(r.Outages, r.Faults, s.Instances)
		}
	}
	r.Violations = drainViolations(in, r.Faults)
	r.Violations = append(r.Violations, configViolations(in)...)
	return r
}

// countFaults counts events that begin a fault, by kind.
func countFaults(events []Event) []FaultCount {
	var counts []FaultCount
	for _, e := range events {
		_, instance := ends[e.Kind]
		isLog := e.Kind == string(faultplan.Log) && e.Detail != "{}"
		if !instance && !isLog && e.Kind != string(faultplan.Race) {
			continue
		}
		i := slices.IndexFunc(counts, func(c FaultCount) bool { return c.Kind == e.Kind })
		if i < 0 {
			i = len(counts)
			counts = append(counts, FaultCount{Kind: e.Kind})
		}
		if e.Detail == string(faultplan.Two) {
			counts[i].Two++
		} else {
			counts[i].One++
		}
	}
	slices.SortFunc(counts, func(a, b FaultCount) int { return b.One + b.Two - a.One - a.Two })
	return counts
}

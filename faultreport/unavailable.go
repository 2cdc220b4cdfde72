package faultreport

import (
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/probe"
)

// doubleLossEffectWindow is the time after a double loss during which an outage
// is still attributed to it.
const doubleLossEffectWindow = 10 * time.Second

// Outage is a period in which no probe received a response for a key.
type Outage struct {
	Key        string
	From       time.Time
	To         time.Time
	DoubleLoss bool // during a double loss or within doubleLossEffectWindow after it
}

// outages returns the periods that are in the gaps of all probes.
func outages(probes [][]probe.Gap, doubleLosses []FaultSpan) []Outage {
	if len(probes) == 0 {
		return nil
	}
	var common []Outage
	for _, g := range probes[0] {
		common = append(common, Outage{Key: g.Key, From: g.Start, To: g.End()})
	}
	for _, gaps := range probes[1:] {
		common = intersect(common, gaps)
	}
	for i := range common {
		common[i].DoubleLoss = slices.ContainsFunc(doubleLosses, func(s FaultSpan) bool {
			return common[i].From.Before(s.To.Add(doubleLossEffectWindow)) && s.From.Before(common[i].To)
		})
	}
	return common
}

func intersect(all []Outage, gaps []probe.Gap) []Outage {
	var common []Outage
	for _, o := range all {
		for _, g := range gaps {
			from, to := later(o.From, g.Start), earlier(o.To, g.End())
			if o.Key == g.Key && from.Before(to) {
				common = append(common, Outage{Key: o.Key, From: from, To: to})
			}
		}
	}
	return common
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// doubleLossesOf returns the faults in which two instances of a service failed at
// the same time.
func doubleLossesOf(faults []FaultSpan, s Service) []FaultSpan {
	var spans []FaultSpan
	for _, f := range faults {
		if f.DoubleLoss && slices.Contains(s.Instances, f.Subject) {
			spans = append(spans, f)
		}
	}
	return spans
}

// Unavailability is the sum of a number of outages.
type Unavailability struct {
	Outages int
	Total   time.Duration // sum over all keys
	Longest time.Duration
}

func (u *Unavailability) add(o Outage) {
	length := o.To.Sub(o.From)
	u.Outages++
	u.Total += length
	u.Longest = max(u.Longest, length)
}

func sumOutages(all []Outage, doubleLoss bool) Unavailability {
	var u Unavailability
	for _, o := range all {
		if o.DoubleLoss == doubleLoss {
			u.add(o)
		}
	}
	return u
}

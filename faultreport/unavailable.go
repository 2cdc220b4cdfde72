package faultreport

import (
	"slices"

	"time"

	"github.com/parsleystack/parsleystack/probe"
)

// afterTwo is the time after a loss of two instances within which
// unavailability counts as its effect.
const afterTwo = 10 * time.Second

// Outage is a time for which no probe got an answer for a key.
type Outage struct {
	Key  string
	From time.Time
	To   time.Time
	Two  bool // while two instances of a cell were lost at a time, or shortly after
}

// outages returns the times that the gaps of all probes have in common.
func outages(probes [][]probe.Gap, twos []Span) []Outage {
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
		common[i].Two = slices.ContainsFunc(twos, func(s Span) bool {
			return common[i].From.Before(s.To.Add(afterTwo)) && s.From.Before(common[i].To)
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

// twosOf returns the losses of two instances of a service at a time.
func twosOf(faults []Span, s Service) []Span {
	var twos []Span
	for _, f := range faults {
		if f.Two && slices.Contains(s.Instances, f.Subject) {
			twos = append(twos, f)
		}
	}
	return twos
}

// Unavailable sums up outages of keys.
type Unavailable struct {
	Outages int
	Total   time.Duration // over all keys
	Longest time.Duration
}

func (u *Unavailable) add(o Outage) {
	length := o.To.Sub(o.From)
	u.Outages++
	u.Total += length
	u.Longest = max(u.Longest, length)
}

func sum(all []Outage, two bool) Unavailable {
	var u Unavailable
	for _, o := range all {
		if o.Two == two {
			u.add(o)
		}
	}
	return u
}

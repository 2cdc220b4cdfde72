package celltest

import (
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
)

// faultShrinker returns a shrinker to shorter and earlier variants of a fault.
// Faults of the profile Single keep their start, so that they do not overlap.
func faultShrinker(profile Profile) gopter.Shrinker {
	return func(v any) gopter.Shrink { return shrinkFault(v.(Fault), profile != Single) }
}

func shrinkFault(f Fault, movable bool) gopter.Shrink {
	var simpler []Fault
	if f.Dur > 20*time.Millisecond {
		g := f
		g.Dur = (f.Dur / 2).Round(10 * time.Millisecond)
		simpler = append(simpler, g)
	}
	if movable && f.At > Warmup+time.Second {
		g := f
		g.At = Warmup + ((f.At - Warmup) / 2).Round(100*time.Millisecond)
		simpler = append(simpler, g)
	}
	next := 0
	return func() (any, bool) {
		if next == len(simpler) {
			return nil, false
		}
		next++
		return simpler[next-1], true
	}
}

// Shrink searches for a smaller schedule that violates the same invariant, in at
// most limit runs. It returns the smallest one found and its violation.
func Shrink(opts Options, s *Schedule, v *Violation, limit int) (*Schedule, *Violation) {
	best, found := s, v
	for limit > 0 {
		next, nextFound := shrinkOnce(opts, best, found, &limit)
		if next == nil {
			break
		}
		best, found = next, nextFound
	}
	return best, found
}

// shrinkOnce returns the first smaller schedule that still fails, or nil.
func shrinkOnce(opts Options, s *Schedule, v *Violation, limit *int) (*Schedule, *Violation) {
	variants := gen.SliceShrinker(faultShrinker(s.Profile))(s.Faults)
	if len(s.Faults) == 1 {
		variants = emptyThen(variants)
	}
	for *limit > 0 {
		value, ok := variants()
		if !ok {
			return nil, nil
		}
		*limit--
		smaller := *s
		smaller.Faults = value.([]Fault)
		if r := Run(opts, &smaller); r.Violation != nil && r.Violation.Invariant == v.Invariant {
			return &smaller, r.Violation
		}
	}
	return nil, nil
}

// emptyThen adds an empty slice of faults before the variants of rest, because
// the shrinker of gopter never returns an empty slice.
func emptyThen(rest gopter.Shrink) gopter.Shrink {
	first := true
	return func() (any, bool) {
		if first {
			first = false
			return []Fault{}, true
		}
		return rest()
	}
}

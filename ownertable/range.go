package ownertable

import "fmt"

// MaxKey is the largest key.
const MaxKey = 1<<16 - 1

// Range is a range of keys, both ends included.
type Range struct {
	From, To uint32
}

// Contains reports whether the range contains the key.
func (r Range) Contains(key uint32) bool { return r.From <= key && key <= r.To }

// Overlaps reports whether the ranges have a key in common.
func (r Range) Overlaps(s Range) bool { return r.From <= s.To && s.From <= r.To }

// Covers reports whether all keys of s lie in r.
func (r Range) Covers(s Range) bool { return r.From <= s.From && s.To <= r.To }

// Len returns the number of keys.
func (r Range) Len() int { return int(r.To) - int(r.From) + 1 }

// String formats the range as from-to.
func (r Range) String() string { return fmt.Sprintf("%d-%d", r.From, r.To) }

// subtract returns the parts of the ranges that s does not cover.
func subtract(ranges []Range, s Range) []Range {
	var rest []Range
	for _, r := range ranges {
		if !r.Overlaps(s) {
			rest = append(rest, r)
			continue
		}
		if r.From < s.From {
			rest = append(rest, Range{From: r.From, To: s.From - 1})
		}
		if s.To < r.To {
			rest = append(rest, Range{From: s.To + 1, To: r.To})
		}
	}
	return rest
}

// Held is a range that a target reports as held or as still in use by running
// requests.
type Held struct {
	Range
	Token uint64
}

// Released is a range that a target reports as released. Handover is passed to
// the next owner to warm up the keys there.
type Released struct {
	Range
	Handover string
}

// Grant assigns a range to a target.
type Grant struct {
	Range
	Token    uint64
	Handover string // from the previous owner; empty if there is none
}

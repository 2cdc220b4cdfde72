package cell

import (
	"slices"

	"github.com/parsleystack/parsleystack/keyspace"
)

const (
	// maxSplits is the maximum number of ranges that are split in one decision.
	maxSplits = 4
	// hotShare is the share of the mean load of an owner above which a single
	// point gets a range of its own.
	hotShare = 0.08
	// wideShare is the share of the mean load of an owner above which a range
	// without a hot point is split in the middle.
	wideShare = 0.5
	// coldShare is the share of the mean load of a range below which a range
	// may be merged with its neighbour.
	coldShare = 0.5
)

// split splits ranges around hot points, and ranges with a high total load.
func (b *balancer) split() []BalanceSplit {
	var splits []BalanceSplit
	perOwner := b.total / float64(len(b.owners))
	var ranges []BalanceRange
	for _, r := range b.ranges {
		parts := splitParts(r.Load, perOwner)
		withinLimit := len(ranges)+len(parts) <= b.cfg.MaxRanges && len(b.ranges)+2*(len(splits)+1) <= b.cfg.MaxRanges
		if r.Fixed || len(parts) < 2 || len(splits) >= maxSplits || !withinLimit {
			ranges = append(ranges, r)
			continue
		}
		splits = append(splits, BalanceSplit{Range: r.Load.Range, Parts: parts})
		for _, part := range parts {
			ranges = append(ranges, BalanceRange{Owner: r.Owner, Load: part, Fixed: true})
		}
	}
	b.ranges = ranges
	return splits
}

// splitParts returns the parts to split the range into, each with its expected
// load, or nil if the range must not be split.
func splitParts(l RangeLoad, perOwner float64) []RangeLoad {
	r := l.Range
	if r.First == r.Last {
		return nil
	}
	if l.HotRate >= hotShare*perOwner && r.Contains(l.HotPoint) {
		return cutAround(l)
	}
	if l.Rate >= wideShare*perOwner {
		middle := r.First + (r.Last-r.First)/2
		half := l.Rate / 2
		return []RangeLoad{
			{Range: keyspace.Range{First: r.First, Last: middle}, Rate: half},
			{Range: keyspace.Range{First: middle + 1, Last: r.Last}, Rate: half},
		}
	}
	return nil
}

// cutAround splits a range into its hot point and the parts on either side.
func cutAround(l RangeLoad) []RangeLoad {
	r, hot := l.Range, l.HotPoint
	rest := max(l.Rate-l.HotRate, 0)
	width := float64(r.Last - r.First)
	var parts []RangeLoad
	if hot > r.First {
		share := float64(hot-r.First) / width
		parts = append(parts, RangeLoad{Range: keyspace.Range{First: r.First, Last: hot - 1}, Rate: rest * share})
	}
	parts = append(parts, RangeLoad{Range: keyspace.Range{First: hot, Last: hot}, Rate: l.HotRate})
	if hot < r.Last {
		share := float64(r.Last-hot) / width
		parts = append(parts, RangeLoad{Range: keyspace.Range{First: hot + 1, Last: r.Last}, Rate: rest * share})
	}
	return parts
}

// merge merges neighbouring cold ranges of one owner, down to MinRanges.
func (b *balancer) merge() []keyspace.Range {
	var merges []keyspace.Range
	cold := coldShare * b.total / float64(len(b.ranges))
	ranges := b.ranges[:0:0]
	count := len(b.ranges)
	for _, r := range b.ranges {
		last := len(ranges) - 1
		if last < 0 || count <= b.in.MinRanges || !mergeable(ranges[last], r, cold) {
			ranges = append(ranges, r)
			continue
		}
		count--
		joined := &ranges[last]
		if n := len(merges); n > 0 && merges[n-1].First == joined.Load.Range.First {
			merges = merges[:n-1]
		}
		joined.Load.Range.Last = r.Load.Range.Last
		joined.Load.Rate += r.Load.Rate
		merges = append(merges, joined.Load.Range)
	}
	for i := range ranges {
		if slices.Contains(merges, ranges[i].Load.Range) {
			ranges[i].Fixed = true
		}
	}
	b.ranges = ranges
	return merges
}

func mergeable(a, c BalanceRange, cold float64) bool {
	if a.Fixed || c.Fixed || a.Owner != c.Owner || a.Owner.IsZero() {
		return false
	}
	return a.Load.Rate+c.Load.Rate < cold
}

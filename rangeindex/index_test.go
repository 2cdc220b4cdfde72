package rangeindex

import (
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/parsleystack/parsleystack/keyspace"
)

// TestFind compares Find with a linear scan, for ranges of many different
// widths.
func TestFind(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("equals a scan", prop.ForAll(func(raw []uint64, shift uint8) bool {
		ranges := rangesOf(raw, shift%60)
		x := New(ranges)
		for _, p := range probes(ranges) {
			want := slices.IndexFunc(ranges, func(r keyspace.Range) bool { return r.Contains(p) })
			if x.Find(p) != want {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.UInt64()), gen.UInt8()))
	properties.TestingRun(t)
}

// rangesOf returns sorted ranges, with gaps between them, whose bounds are pairs
// of the sorted points.
func rangesOf(raw []uint64, shift uint8) []keyspace.Range {
	points := slices.Clone(raw)
	for i := range points {
		if i%2 == 0 {
			points[i] >>= shift
		}
	}
	slices.Sort(points)
	points = slices.Compact(points)
	var ranges []keyspace.Range
	for i := 0; i+1 < len(points); i += 2 {
		ranges = append(ranges, keyspace.Range{First: keyspace.Point(points[i]), Last: keyspace.Point(points[i+1])})
	}
	return ranges
}

func probes(ranges []keyspace.Range) []keyspace.Point {
	out := []keyspace.Point{0, keyspace.MaxPoint}
	for _, r := range ranges {
		out = append(out, r.First, r.Last, r.First-1, r.Last+1, r.First+(r.Last-r.First)/2)
	}
	return out
}

func TestDividedSpace(t *testing.T) {
	for _, n := range []int{1, 2, 3, 64, 1000} {
		ranges := keyspace.Divide(n)
		x := New(ranges)
		for i, r := range ranges {
			if x.Find(r.First) != i || x.Find(r.Last) != i {
				t.Fatalf("range %d of %d is not found", i, n)
			}
		}
	}
}

// Package rangeindex finds the range that contains a point among many disjoint
// ranges. Points are hashes and therefore evenly distributed, so a guide table
// indexed by their leading bits leaves only a few ranges to compare.
package rangeindex

import (
	"math/bits"

	"github.com/parsleystack/parsleystack/keyspace"
)

// maxGuideBits limits the guide table to 256 KiB.
const maxGuideBits = 16

// Index is an immutable set of disjoint ranges. The zero Index is empty.
type Index struct {
	ranges []keyspace.Range
	guide  []uint32 // index, by leading bits, of the first range that ends at or after the first point with these bits
	shift  uint     // right shift of a point that yields its leading bits
}

// New returns an index of ranges, which must be disjoint and sorted. It retains
// the slice, which must not be modified afterwards.
func New(ranges []keyspace.Range) Index {
	if len(ranges) == 0 {
		return Index{}
	}
	width := min(bits.Len(uint(len(ranges)))+1, maxGuideBits)
	x := Index{ranges: ranges, shift: uint(64 - width), guide: make([]uint32, 1<<width)}
	at := 0
	for i := range x.guide {
		start := keyspace.Point(i) << x.shift
		for at < len(ranges) && ranges[at].Last < start {
			at++
		}
		x.guide[i] = uint32(at)
	}
	return x
}

// Find returns the index of the range that contains p, or -1 if there is none.
// It does not allocate.
func (x *Index) Find(p keyspace.Point) int {
	if len(x.ranges) == 0 {
		return -1
	}
	low := int(x.guide[p>>x.shift])
	high := len(x.ranges)
	if next := int(p>>x.shift) + 1; next < len(x.guide) {
		high = min(high, int(x.guide[next])+1)
	}
	for low < high {
		mid := int(uint(low+high) >> 1)
		if x.ranges[mid].Last < p {
			low = mid + 1
		} else {
			high = mid
		}
	}
	if low == len(x.ranges) || x.ranges[low].First > p {
		return -1
	}
	return low
}

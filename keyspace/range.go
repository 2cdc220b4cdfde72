// Package keyspace maps keys to positions in a 64-bit hash space and divides
// that space into ranges, the unit of ownership.
package keyspace

//msgp:tuple Range

import "fmt"

// Point is the position of a key in the hash space of its service.
type Point uint64

// MaxPoint is the last position of the hash space.
const MaxPoint = Point(^uint64(0))

// Range is a closed interval of the hash space of one service. A single hot key
// can be isolated in a range of one point.
type Range struct {
	First Point `msg:"f"`
	Last  Point `msg:"l"`
}

// Full returns the range that covers the whole hash space.
func Full() Range { return Range{First: 0, Last: MaxPoint} }

// Contains reports whether p is in r.
func (r Range) Contains(p Point) bool { return r.First <= p && p <= r.Last }

// Overlaps reports whether r and o have a point in common.
func (r Range) Overlaps(o Range) bool { return r.First <= o.Last && o.First <= r.Last }

// String formats r as its first and last point in hexadecimal.
func (r Range) String() string { return fmt.Sprintf("%016x-%016x", uint64(r.First), uint64(r.Last)) }

// Divide divides the hash space into n ranges of nearly equal width, in
// ascending order. It panics if n is less than one.
func Divide(n int) []Range {
	if n < 1 {
		panic("keyspace: Divide needs at least one range")
	}
	width := uint64(MaxPoint)/uint64(n) + 1
	ranges := make([]Range, n)
	for i := range ranges {
		ranges[i] = Range{First: Point(width * uint64(i)), Last: Point(width*uint64(i+1) - 1)}
	}
	ranges[n-1].Last = MaxPoint
	if n == 1 {
		ranges[0] = Full()
	}
	return ranges
}

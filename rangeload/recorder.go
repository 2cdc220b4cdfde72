package rangeload

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/keyspace"
)

const (
	// windowSize is the number of newest requests whose positions are kept.
	windowSize = 4096
	// minHot is the number of requests in the window from which on a position
	// may stand out as hot.
	minHot = 8
)

// Recorder notes the positions of requests. All methods may be called by any
// goroutine; Measure by one at a time.
type Recorder struct {
	count  atomic.Uint64
	window [windowSize]atomic.Uint64

	measured uint64 // count at the last Measure
}

// Observe notes a request. It does not allocate or block.
func (r *Recorder) Observe(p keyspace.Point) {
	n := r.count.Add(1)
	r.window[n%windowSize].Store(uint64(p))
}

// Count returns the number of requests since the last Measure.
func (r *Recorder) Count() uint64 { return r.count.Load() - r.measured }

// Measure returns the load of each range, in the order of ranges, over the time
// since the last call, which the caller knows.
func (r *Recorder) Measure(ranges []keyspace.Range, elapsed time.Duration) []cell.RangeLoad {
	points, total := r.take()
	loads := make([]cell.RangeLoad, len(ranges))
	if len(points) == 0 || elapsed <= 0 {
		for i, g := range ranges {
			loads[i].Range = g
		}
		return loads
	}
	rate := float64(total) / elapsed.Seconds() / float64(len(points)) // of one point
	for i, g := range ranges {
		loads[i] = loadOf(g, points, rate)
	}
	return loads
}

// take returns the positions of the newest requests in order, and the number
// of requests, since the last call.
func (r *Recorder) take() (points []keyspace.Point, total uint64) {
	count := r.count.Load()
	total = count - r.measured
	r.measured = count
	points = make([]keyspace.Point, min(total, windowSize))
	for i := range points {
		points[i] = keyspace.Point(r.window[(count-uint64(i))%windowSize].Load())
	}
	slices.Sort(points)
	return points, total
}

// loadOf measures one range in sorted points that stand for rate each.
func loadOf(g keyspace.Range, points []keyspace.Point, rate float64) cell.RangeLoad {
	first, _ := slices.BinarySearch(points, g.First)
	inside := points[first:]
	if g.Last != keyspace.MaxPoint {
		end, _ := slices.BinarySearch(inside, g.Last+1)
		inside = inside[:end]
	}
	load := cell.RangeLoad{Range: g, Rate: float64(len(inside)) * rate}
	if hot, n := mostFrequent(inside); n >= minHot {
		load.HotPoint, load.HotRate = hot, float64(n)*rate
	}
	return load
}

// mostFrequent returns the most frequent of sorted points and its frequency.
func mostFrequent(points []keyspace.Point) (best keyspace.Point, n int) {
	run := 0
	for i, p := range points {
		if i == 0 || p != points[i-1] {
			run = 0
		}
		run++
		if run > n {
			best, n = p, run
		}
	}
	return best, n
}

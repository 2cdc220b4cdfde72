package rangeload

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/keyspace"
)

const (
	// windowSize is the number of most recent requests whose positions are kept.
	windowSize = 4096
	// minHotRequests is the minimum number of requests in the window for a
	// position to be reported as hot.
	minHotRequests = 8
)

// Recorder records the hash positions of requests. Observe is safe for concurrent
// use, also with the other methods; Measure and Count must not be called
// concurrently with each other. The zero Recorder is ready for use.
type Recorder struct {
	count  atomic.Uint64
	window [windowSize]atomic.Uint64

	measured uint64 // count at the last Measure
}

// Observe records a request. It does not allocate or block.
func (r *Recorder) Observe(p keyspace.Point) {
	n := r.count.Add(1)
	r.window[n%windowSize].Store(uint64(p))
}

// Count returns the number of requests since the last Measure.
func (r *Recorder) Count() uint64 { return r.count.Load() - r.measured }

// Measure returns the load of each range, in the same order as ranges, since the
// last call. elapsed is the time since then.
func (r *Recorder) Measure(ranges []keyspace.Range, elapsed time.Duration) []cell.RangeLoad {
	points, total := r.takeWindow()
	loads := make([]cell.RangeLoad, len(ranges))
	if len(points) == 0 || elapsed <= 0 {
		for i, g := range ranges {
			loads[i].Range = g
		}
		return loads
	}
	rate := float64(total) / elapsed.Seconds() / float64(len(points)) // requests per second that one sample represents
	for i, g := range ranges {
		loads[i] = measureRange(g, points, rate)
	}
	return loads
}

// takeWindow returns the sorted positions of the most recent requests, and the
// total number of requests, since the last call.
func (r *Recorder) takeWindow() (points []keyspace.Point, total uint64) {
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

// measureRange computes the load of one range from the sorted samples in points,
// each of which represents rate requests per second.
func measureRange(g keyspace.Range, points []keyspace.Point, rate float64) cell.RangeLoad {
	first, _ := slices.BinarySearch(points, g.First)
	inside := points[first:]
	if g.Last != keyspace.MaxPoint {
		end, _ := slices.BinarySearch(inside, g.Last+1)
		inside = inside[:end]
	}
	load := cell.RangeLoad{Range: g, Rate: float64(len(inside)) * rate}
	if hot, n := mostFrequent(inside); n >= minHotRequests {
		load.HotPoint, load.HotRate = hot, float64(n)*rate
	}
	return load
}

// mostFrequent returns the most frequent of the sorted points and its number of
// occurrences.
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

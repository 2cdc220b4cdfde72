package celltest

import "github.com/parsleystack/parsleystack/clock"

// ppm is the number of parts in a million.
const ppm = 1_000_000

// trueTime is the simulated true time in nanoseconds since the start of the
// world. Processes cannot read it.
type trueTime int64

// driftClock is the clock of one instance.
type driftClock struct {
	offset int64 // reading at the start of the world
	rate   int64 // deviation from true time in parts per million
}

// read returns the reading of the clock at t.
func (c driftClock) read(t trueTime) clock.Time {
	return clock.Time(c.offset + int64(t) + int64(t)*c.rate/ppm)
}

// when returns the true time at which the clock shows r.
func (c driftClock) when(r clock.Time) trueTime {
	since := int64(r) - c.offset
	q := since / (ppm + c.rate)
	rest := since % (ppm + c.rate)
	return trueTime(q*ppm + rest*ppm/(ppm+c.rate))
}

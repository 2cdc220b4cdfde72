package loadstate

import (
	"math"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const (
	// halfLife is the age at which a stated slowness counts half. Machines
	// were observed to be slow for 400 ms at a time, with a probability of a fifth: a figure is
	// often outdated after 200 ms.
	halfLife = 70 * time.Millisecond
	// minSlowness and maxSlowness bound the stated figures, so that one that makes no sense
	// stops neither all requests nor all refusals.
	minSlowness = 0.2
	maxSlowness = 10
	// kept is the number of figures that are kept. They reach back for the time that a request
	// takes at a target that responds to some 100 a second.
	kept = 64
)

// State is the newest load that a target has stated. The zero value has none.
type State struct {
	figures Figures
	at      clock.Time // when it was received; Never if there is none
	// past has the last stated speeds, in the order in which they were received; next is the
	// index of the oldest once there are kept of them.
	past []pastSpeed
	next int
}

type pastSpeed struct {
	at       clock.Time
	slowness float64
}

// Observe records the load in a response that was received at a time.
func (s *State) Observe(f Figures, received clock.Time) {
	if received.Before(s.at) {
		return
	}
	f.Slowness = min(max(f.Slowness, minSlowness), maxSlowness)
	s.figures, s.at = f, received
	p := pastSpeed{at: received, slowness: f.Slowness}
	if len(s.past) < kept {
		s.past = append(s.past, p)
		return
	}
	s.past[s.next] = p
	s.next = (s.next + 1) % kept
}

// SlownessAt returns the slowness that was stated nearest to a past time, and its weight by the
// distance, from 0 to 1. The weight is 0 if nothing was stated.
func (s *State) SlownessAt(past clock.Time) (slowness, weight float64) {
	slowness, nearest := 1.0, time.Duration(math.MaxInt64)
	for i := range s.past {
		if distance := max(s.past[i].at.Sub(past), past.Sub(s.past[i].at)); distance < nearest {
			slowness, nearest = s.past[i].slowness, distance
		}
	}
	if len(s.past) == 0 {
		return 1, 0
	}
	return slowness, weightOf(nearest)
}

// Slowest returns the largest slowness that was stated since a time, or shortly before it. It is
// 1 if nothing was stated.
func (s *State) Slowest(since clock.Time) float64 {
	slowest := 1.0
	for i := range s.past {
		if !s.past[i].at.Before(since.Add(-halfLife)) {
			slowest = max(slowest, s.past[i].slowness)
		}
	}
	return slowest
}

// weightOf returns the weight of a figure by its age.
func weightOf(age time.Duration) float64 { return math.Exp2(-float64(age) / float64(halfLife)) }

// Newest returns the newest figures and their age. It reports false if there are none.
func (s *State) Newest(now clock.Time) (f Figures, age time.Duration, ok bool) {
	return s.figures, now.Sub(s.at), s.at != clock.Never
}

// Slowness returns the expected duration of work that begins at a time, relative to the usual
// one: the newest figure, weighted by its age at that time. It is 1 if there is none.
func (s *State) Slowness(at clock.Time) float64 {
	if s.at == clock.Never {
		return 1
	}
	return 1 + (s.figures.Slowness-1)*weightOf(max(at.Sub(s.at), 0))
}

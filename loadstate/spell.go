package loadstate

import (
	"math"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const (
	// slowRatio is the stated slowness, relative to that of the target's usual times, from which
	// on it is in a slow spell. Targets of a service differ from one another as well.
	slowRatio = 1.8
	// initialSpell is assumed for the length of a slow spell until one has ended.
	initialSpell = 140 * time.Millisecond
	// minSpell and maxSpell bound the learned length. A target that stays slow for longer than
	// maxSpell has become slow for good.
	minSpell = 40 * time.Millisecond
	maxSpell = 2 * time.Second
	// spellWeight is the weight of one spell in the moving average of their length.
	spellWeight = 0.3
	// usualWeight is the weight of one figure in the moving average of the usual slowness.
	usualWeight = 0.02
)

// spells follows the times in which a target that shares its machine is slow. They last for
// some hundred milliseconds, or a multiple of that.
type spells struct {
	usual  float64    // slowness outside of spells; 0 if nothing was stated
	since  clock.Time // first figure of the spell in progress; Never if there is none
	newest clock.Time // newest figure
	length time.Duration
}

// observe records a stated slowness.
func (s *spells) observe(slowness float64, at clock.Time) {
	s.newest = at
	switch {
	case s.usual == 0 || slowness < s.usual:
		s.usual = slowness
	case slowness < slowRatio*s.usual:
		s.usual += usualWeight * (slowness - s.usual)
	case s.since == clock.Never:
		s.since = at
		return
	case at.Sub(s.since) > maxSpell:
		s.usual, s.since = slowness, clock.Never
		return
	default:
		return
	}
	if s.since != clock.Never {
		s.learn(at.Sub(s.since))
		s.since = clock.Never
	}
}

// learn records the length of a spell that has ended. Spells that follow one another at once look
// like a single one.
func (s *spells) learn(took time.Duration) {
	length := s.typical()
	if n := math.Round(float64(took) / float64(length)); n >= 2 && float64(took) > (n-0.25)*float64(length) && s.length > 0 {
		took = time.Duration(float64(took) / n)
	}
	took = min(max(took, minSpell), maxSpell)
	if s.length == 0 {
		s.length = took
		return
	}
	s.length += time.Duration(spellWeight * float64(took-s.length))
}

// typical returns the expected length of a spell.
func (s *spells) typical() time.Duration {
	if s.length == 0 {
		return initialSpell
	}
	return s.length
}

// remaining returns the expected time until the spell in progress ends; 0 if there is none. One
// that lasts for longer than expected is taken for several.
func (s *spells) remaining(now clock.Time) time.Duration {
	if s.since == clock.Never {
		return 0
	}
	length := s.typical()
	n := int64(s.newest.Sub(s.since)/length) + 1
	return max(s.since.Add(time.Duration(n)*length).Sub(now), 0)
}

package bench

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Phase is a part of the run with a constant request rate.
type Phase struct {
	Rate     float64 // requests a second
	Duration time.Duration
}

// ParsePhases parses phases such as "1000x10s,2000x30s".
func ParsePhases(s string) ([]Phase, error) {
	var phases []Phase
	for _, part := range strings.Split(s, ",") {
		rate, duration, _ := strings.Cut(part, "x")
		r, err := strconv.ParseFloat(rate, 64)
		if err != nil || r <= 0 {
			return nil, fmt.Errorf("bench: phase %q: the rate must be a positive number; write for example 1000x10s", part)
		}
		d, err := time.ParseDuration(duration)
		if err != nil || d <= 0 {
			return nil, fmt.Errorf("bench: phase %q: the duration must be positive; write for example 1000x10s", part)
		}
		phases = append(phases, Phase{Rate: r, Duration: d})
	}
	return phases, nil
}

// schedule yields the send times of a Poisson process whose rate follows the
// phases. It is not safe for concurrent use.
type schedule struct {
	phases []Phase
	random *rand.Rand
	share  float64       // fraction of the rate that this schedule sends
	start  time.Duration // start of the current phase
	at     time.Duration // last send time
}

func newSchedule(phases []Phase, share float64, random *rand.Rand) *schedule {
	return &schedule{phases: phases, share: share, random: random}
}

// next returns the next send time, relative to the start of the run. It returns
// false after the last phase.
func (s *schedule) next() (time.Duration, bool) {
	for len(s.phases) > 0 {
		p := s.phases[0]
		gap := s.random.ExpFloat64() / (p.Rate * s.share) * float64(time.Second)
		at := s.at + time.Duration(gap)
		if at < s.start+p.Duration {
			s.at = at
			return at, true
		}
		s.start += p.Duration
		s.at = s.start
		s.phases = s.phases[1:]
	}
	return 0, false
}

func totalDuration(phases []Phase) time.Duration {
	var d time.Duration
	for _, p := range phases {
		d += p.Duration
	}
	return d
}

package admission

import (
	"math"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const (
	slowTolerance   = 2.0  // ratio of recent to usual time at which the limit falls
	clipFactor      = 4.0  // usual times that one request counts at most
	minGradient     = 0.7  // smallest change of the limit in a window without
	usualWeight     = 0.02 // weight of a slow window in the usual time
	usualFastWeight = 0.2  // weight of a fast window in the usual time
	recentWeight    = 0.1  // weight of one request in the recent time
)

// limit adapts the number of requests that run at once to the time they take.
// It compares the mean of each window with the usual time. The usual time
// follows slowly, so that a target that is slow for good is used again.
type limit struct {
	cfg   *Config
	value float64

	usual  float64 // seconds
	recent float64 // seconds, moving mean over requests

	windowEnd clock.Time
	sum       float64 // seconds in this window
	count     int
	sheds     int
	full      bool // the limit was reached in this window
}

func newLimit(cfg *Config) limit { return limit{cfg: cfg, value: float64(cfg.Slots)} }

func (l *limit) current() int {
	if l.cfg.FixedLimit {
		return l.cfg.Slots
	}
	return int(l.value)
}

// meanTime returns the time that a request is expected to take.
func (l *limit) meanTime() time.Duration { return time.Duration(l.recent * float64(time.Second)) }

func (l *limit) finished(ending Completion, took time.Duration, now clock.Time) {
	switch ending {
	case Shed:
		l.sheds++
	case Answered, Failed:
		l.sample(took.Seconds())
	}
	if now.Before(l.windowEnd) {
		return
	}
	l.adjust()
	l.sum, l.count, l.sheds, l.full = 0, 0, 0, false
	l.windowEnd = now.Add(l.cfg.Window)
}

func (l *limit) sample(seconds float64) {
	l.sum += l.clip(seconds)
	l.count++
	if l.recent == 0 {
		l.recent = seconds
		return
	}
	l.recent += recentWeight * (seconds - l.recent)
}

// clip bounds what one slow request adds to its window, so that a few of them
// do not make the target look slow.
func (l *limit) clip(seconds float64) float64 {
	if l.usual == 0 {
		return seconds
	}
	return math.Min(seconds, clipFactor*l.usual)
}

// adjust ends a window.
func (l *limit) adjust() {
	if l.sheds > 0 {
		shed := float64(l.sheds) / float64(l.sheds+l.count)
		l.set(l.value * (1 - shed))
	}
	if l.count == 0 {
		return
	}
	mean := l.sum / float64(l.count)
	l.learn(mean)
	gradient := math.Min(1, slowTolerance*l.usual/mean)
	if gradient < 1 {
		l.set(l.value * math.Max(gradient, minGradient))
		return
	}
	if l.full {
		l.set(l.value + math.Sqrt(l.value)/2)
	}
}

func (l *limit) learn(mean float64) {
	weight := usualWeight
	if mean < l.usual {
		weight = usualFastWeight
	}
	if l.usual == 0 {
		weight = 1
	}
	l.usual += weight * (mean - l.usual)
}

func (l *limit) set(value float64) {
	l.value = math.Min(math.Max(value, float64(l.cfg.MinLimit)), float64(l.cfg.Slots))
}

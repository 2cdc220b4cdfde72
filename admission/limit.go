package admission

import (
	"math"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const (
	slowdownTolerance  = 2.0  // ratio of window mean to baseline above which the limit is lowered
	clipFactor         = 4.0  // multiple of the baseline to which one sample is clipped
	minGradient        = 0.7  // lowest factor by which slow samples lower the limit per window
	slowBaselineWeight = 0.02 // weight in the baseline of a window slower than it
	fastBaselineWeight = 0.2  // weight in the baseline of a window faster than it
	recentWeight       = 0.1  // weight of one request in the moving average
)

// limit adapts the number of concurrent requests to their processing time. It
// compares the mean of each window with a baseline. The baseline follows
// increases slowly, so that the limit recovers for a target that has become
// permanently slower.
type limit struct {
	cfg   *Config
	value float64

	baseline float64 // processing time in seconds, moving average over windows
	recent   float64 // processing time in seconds, moving average over requests

	windowEnd   clock.Time
	windowSum   float64 // seconds, clipped
	windowCount int
	windowSheds int
	reached     bool // the limit was reached in this window
}

func newLimit(cfg *Config) limit { return limit{cfg: cfg, value: float64(cfg.Slots)} }

func (l *limit) current() int {
	if l.cfg.FixedLimit {
		return l.cfg.Slots
	}
	return int(l.value)
}

// meanTime returns the expected processing time of a request.
func (l *limit) meanTime() time.Duration { return time.Duration(l.recent * float64(time.Second)) }

// finished records a completed request and adjusts the limit at the end of a
// window. NotSent requests do not count.
func (l *limit) finished(completion Completion, duration time.Duration, now clock.Time) {
	switch completion {
	case Shed:
		l.windowSheds++
	case Answered, Failed:
		l.record(duration.Seconds())
	}
	if now.Before(l.windowEnd) {
		return
	}
	l.adjust()
	l.windowSum, l.windowCount, l.windowSheds, l.reached = 0, 0, 0, false
	l.windowEnd = now.Add(l.cfg.Window)
}

func (l *limit) record(seconds float64) {
	l.windowSum += l.clip(seconds)
	l.windowCount++
	if l.recent == 0 {
		l.recent = seconds
		return
	}
	l.recent += recentWeight * (seconds - l.recent)
}

// clip bounds the contribution of one request to its window, so that a few
// slow requests do not lower the limit.
func (l *limit) clip(seconds float64) float64 {
	if l.baseline == 0 {
		return seconds
	}
	return math.Min(seconds, clipFactor*l.baseline)
}

// adjust computes the new limit at the end of a window.
func (l *limit) adjust() {
	if l.windowSheds > 0 {
		shed := float64(l.windowSheds) / float64(l.windowSheds+l.windowCount)
		l.setClamped(l.value * (1 - shed))
	}
	if l.windowCount == 0 {
		return
	}
	mean := l.windowSum / float64(l.windowCount)
	l.updateBaseline(mean)
	gradient := math.Min(1, slowdownTolerance*l.baseline/mean)
	if gradient < 1 {
		l.setClamped(l.value * math.Max(gradient, minGradient))
		return
	}
	if l.reached {
		l.setClamped(l.value + math.Sqrt(l.value)/2)
	}
}

func (l *limit) updateBaseline(mean float64) {
	weight := slowBaselineWeight
	if mean < l.baseline {
		weight = fastBaselineWeight
	}
	if l.baseline == 0 {
		weight = 1
	}
	l.baseline += weight * (mean - l.baseline)
}

func (l *limit) setClamped(value float64) {
	l.value = math.Min(math.Max(value, float64(l.cfg.MinLimit)), float64(l.cfg.Slots))
}

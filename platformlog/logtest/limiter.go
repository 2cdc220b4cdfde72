package logtest

import "time"

// limiter is a token bucket.
type limiter struct {
	rate   float64 // tokens per second; 0 means no limit
	burst  float64 // capacity of the bucket
	tokens float64
	last   time.Time
}

func newLimiter(rate float64, now time.Time) *limiter {
	burst := max(1, rate*appendBurst.Seconds())
	return &limiter{rate: rate, burst: burst, tokens: burst, last: now}
}

// take removes one token. It reports false if there is none.
func (l *limiter) take(now time.Time) bool {
	if l.rate == 0 {
		return true
	}
	l.tokens = min(l.burst, l.tokens+l.rate*now.Sub(l.last).Seconds())
	l.last = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

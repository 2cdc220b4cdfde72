package ratelimit

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const (
	// minRate is the rate, in requests a second, at limits below it. A target without any
	// request could not state that its limit has ended.
	minRate = 0.25
	// burstTime is the time whose unused requests may be sent at once later.
	burstTime = 500 * time.Millisecond
)

// Pacer spaces requests by a limit: in any time t it lets rate * t requests through, and
// those of burstTime, but at least one. The zero value has no limit.
type Pacer struct {
	limited bool
	rate    float64 // requests a second
	tokens  float64 // requests that may be sent at the time at; negative if more were taken
	at      clock.Time
}

// SetLimit puts a limit into force. The first one starts without tokens, since requests that
// were sent before it have just arrived.
func (p *Pacer) SetLimit(perSecond float64, now clock.Time) {
	if !p.limited {
		*p = Pacer{limited: true, at: now}
	}
	p.refill(now)
	p.rate = max(perSecond, minRate)
	p.tokens = min(p.tokens, p.capacity())
}

// Unlimit withdraws the limit.
func (p *Pacer) Unlimit() { *p = Pacer{} }

// Limited reports whether there is a limit.
func (p *Pacer) Limited() bool { return p.limited }

// Rate returns the requests a second that it lets through, if there is a limit.
func (p *Pacer) Rate() float64 { return p.rate }

// Ready reports whether a request may be sent now.
func (p *Pacer) Ready(now clock.Time) bool {
	p.refill(now)
	return !p.limited || p.tokens >= 1
}

// Take records that a request is sent.
func (p *Pacer) Take(now clock.Time) {
	p.refill(now)
	if p.limited {
		p.tokens--
	}
}

// Return records that a request of an earlier Take was not sent.
func (p *Pacer) Return(now clock.Time) {
	p.refill(now)
	if p.limited {
		p.tokens = min(p.tokens+1, p.capacity())
	}
}

// Wait returns the time until n requests could have been sent. It is 0 without a limit.
func (p *Pacer) Wait(n float64, now clock.Time) time.Duration {
	p.refill(now)
	if !p.limited || p.tokens >= n {
		return 0
	}
	return max(time.Duration((n-p.tokens)/p.rate*float64(time.Second)), 1)
}

// Burst returns the number of requests that may be sent at once after a pause, if there is
// a limit. It is 1 or more.
func (p *Pacer) Burst() float64 { return p.capacity() }

func (p *Pacer) capacity() float64 { return max(p.rate*burstTime.Seconds(), 1) }

func (p *Pacer) refill(now clock.Time) {
	if elapsed := now.Sub(p.at); p.limited && elapsed > 0 {
		p.tokens = min(p.tokens+p.rate*elapsed.Seconds(), p.capacity())
		p.at = now
	}
}

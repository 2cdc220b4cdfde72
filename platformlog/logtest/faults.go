package logtest

import "time"

// Faults holds the faults that a Log shows. The zero value shows none.
type Faults struct {
	// Outage refuses every call.
	Outage bool
	// Hang leaves every call without an answer; appends have no effect.
	Hang bool
	// Slow delays every answer. Appends take effect before the delay.
	Slow time.Duration
	// LoseAnswerRatio is the share of appends that take effect but whose
	// answer is lost.
	LoseAnswerRatio float64
	// LateRatio is the share of appends whose answer is lost and that take
	// effect after the time Late.
	LateRatio float64
	Late      time.Duration
}

package logtest

import "time"

// Faults are the faults that a Log injects. The zero value injects none.
type Faults struct {
	// Outage rejects every call.
	Outage bool
	// Hang leaves every call without a response; appends have no effect.
	Hang bool
	// Slow delays every response. Appends take effect before the delay.
	Slow time.Duration
	// LostResponseRatio is the fraction of appends that take effect but whose
	// response is lost.
	LostResponseRatio float64
	// LateRatio is the fraction of appends whose response is lost and that
	// take effect only after Late.
	LateRatio float64
	Late      time.Duration
}

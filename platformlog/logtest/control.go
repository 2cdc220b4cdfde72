package logtest

import "time"

// Control is the JSON representation of Faults at the control endpoint of the
// server.
type Control struct {
	Outage            bool    `json:"outage"`
	Hang              bool    `json:"hang"`
	SlowMs            int64   `json:"slow_ms"`
	LostResponseRatio float64 `json:"lose_answer_ratio"`
	LateRatio         float64 `json:"late_ratio"`
	LateMs            int64   `json:"late_ms"`
}

// Faults converts c.
func (c Control) Faults() Faults {
	return Faults{
		Outage:            c.Outage,
		Hang:              c.Hang,
		Slow:              time.Duration(c.SlowMs) * time.Millisecond,
		LostResponseRatio: c.LostResponseRatio,
		LateRatio:         c.LateRatio,
		Late:              time.Duration(c.LateMs) * time.Millisecond,
	}
}

// ControlOf returns the JSON representation of f.
func ControlOf(f Faults) Control {
	return Control{
		Outage:            f.Outage,
		Hang:              f.Hang,
		SlowMs:            f.Slow.Milliseconds(),
		LostResponseRatio: f.LostResponseRatio,
		LateRatio:         f.LateRatio,
		LateMs:            f.Late.Milliseconds(),
	}
}

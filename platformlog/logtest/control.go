package logtest

import "time"

// Control is the JSON form of Faults at the server's control endpoint.
type Control struct {
	Outage          bool    `json:"outage"`
	Hang            bool    `json:"hang"`
	SlowMs          int64   `json:"slow_ms"`
	LoseAnswerRatio float64 `json:"lose_answer_ratio"`
	LateRatio       float64 `json:"late_ratio"`
	LateMs          int64   `json:"late_ms"`
}

// Faults returns the faults that c asks for.
func (c Control) Faults() Faults {
	return Faults{
		Outage:          c.Outage,
		Hang:            c.Hang,
		Slow:            time.Duration(c.SlowMs) * time.Millisecond,
		LoseAnswerRatio: c.LoseAnswerRatio,
		LateRatio:       c.LateRatio,
		Late:            time.Duration(c.LateMs) * time.Millisecond,
	}
}

// ControlOf returns the JSON form of f.
func ControlOf(f Faults) Control {
	return Control{
		Outage:          f.Outage,
		Hang:            f.Hang,
		SlowMs:          f.Slow.Milliseconds(),
		LoseAnswerRatio: f.LoseAnswerRatio,
		LateRatio:       f.LateRatio,
		LateMs:          f.Late.Milliseconds(),
	}
}

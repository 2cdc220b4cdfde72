package target

import (
	"fmt"
	"time"
)

// Values of Control.Health and Control.Load: what the health and load endpoints
// report. ReportTrue reports the actual state.
const (
	ReportTrue    = "true"
	ReportReady   = "ready"
	ReportUnready = "unready"
	ReportIdle    = "idle"
	ReportFull    = "full"
)

// Control is the set of faults that a Target injects, and the JSON body of
// /control. The zero value injects none and keeps the configured service time.
type Control struct {
	ServiceUs      int64        `json:"service_us,omitempty"`
	ServiceDist    Distribution `json:"service_dist,omitempty"`
	Shed           bool         `json:"shed,omitempty"`
	FreezeMs       int64        `json:"freeze_ms,omitempty"`
	ColdMs         int64        `json:"cold_ms,omitempty"`
	ColdGrantMs    int64        `json:"cold_grant_ms,omitempty"`
	Unfenced       bool         `json:"unfenced,omitempty"`
	Health         string       `json:"health,omitempty"`
	Load           string       `json:"load,omitempty"`
	LagMs          int64        `json:"lag_ms,omitempty"`
	LateRatio      float64      `json:"late_ratio,omitempty"`
	LateMs         int64        `json:"late_ms,omitempty"`
	TruncatedRatio float64      `json:"torn_ratio,omitempty"`
	CloseRatio     float64      `json:"close_ratio,omitempty"`
	WrongRatio     float64      `json:"wrong_ratio,omitempty"`
}

// Validate returns an error that names the first invalid field.
func (c Control) Validate() error {
	if c.ServiceDist != "" && !c.ServiceDist.Valid() {
		return fmt.Errorf("service_dist %q is unknown; use constant, exponential or lognormal", c.ServiceDist)
	}
	if !oneOf(c.Health, "", ReportTrue, ReportReady, ReportUnready) {
		return fmt.Errorf("health %q is unknown; use true, ready or unready", c.Health)
	}
	if !oneOf(c.Load, "", ReportTrue, ReportIdle, ReportFull) {
		return fmt.Errorf("load %q is unknown; use true, idle or full", c.Load)
	}
	return nil
}

func oneOf(s string, allowed ...string) bool {
	for _, a := range allowed {
		if s == a {
			return true
		}
	}
	return false
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

package target

import (
	"sync"
	"time"
)

// Health is the JSON response of the health endpoint.
type Health struct {
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
}

// Load is the JSON response of the load endpoint.
type Load struct {
	InFlight int64 `json:"in_flight"`
	Slots    int   `json:"slots"`
}

// reportCache holds the health and load reports that were sampled last.
type reportCache struct {
	mu        sync.Mutex
	sampledAt time.Time
	health    Health
	load      Load
}

func (t *Target) health() Health {
	control := t.control.Load()
	switch control.Health {
	case ReportReady:
		return Health{Ready: true}
	case ReportUnready:
		return Health{}
	}
	h, _ := t.sampleReports(control)
	return h
}

func (t *Target) load() Load {
	control := t.control.Load()
	switch control.Load {
	case ReportIdle:
		return Load{Slots: t.config.Slots}
	case ReportFull:
		return Load{InFlight: int64(t.config.Slots), Slots: t.config.Slots}
	}
	_, l := t.sampleReports(control)
	return l
}

// sampleReports returns the health and load of the target. With a configured
// lag, they may be as old as the lag.
func (t *Target) sampleReports(control *Control) (Health, Load) {
	t.cachedReports.mu.Lock()
	defer t.cachedReports.mu.Unlock()
	now := time.Now()
	if now.Sub(t.cachedReports.sampledAt) >= milliseconds(control.LagMs) {
		draining := t.draining.Load()
		t.cachedReports.sampledAt = now
		t.cachedReports.health = Health{
			Ready:    !draining && now.UnixNano() >= t.coldUntil.Load(),
			Draining: draining,
		}
		t.cachedReports.load = Load{InFlight: t.counters.inFlight.current.Load(), Slots: t.config.Slots}
	}
	return t.cachedReports.health, t.cachedReports.load
}

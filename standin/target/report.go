package target

import (
	"sync"
	"time"
)

// Health is the answer of the health endpoint.
type Health struct {
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
}

// Load is the answer of the load endpoint.
type Load struct {
	InFlight int64 `json:"in_flight"`
	Slots    int   `json:"slots"`
}

// lagged keeps the health and load answers of an earlier time.
type lagged struct {
	mu     sync.Mutex
	taken  time.Time
	health Health
	load   Load
}

func (t *Target) health() Health {
	control := t.control.Load()
	switch control.Health {
	case ReportReady:
		return Health{Ready: true}
	case ReportUnready:
		return Health{}
	}
	h, _ := t.reports(control)
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
	_, l := t.reports(control)
	return l
}

// reports returns the true state, or one that is up to the lag old.
func (t *Target) reports(control *Control) (Health, Load) {
	t.lagged.mu.Lock()
	defer t.lagged.mu.Unlock()
	now := time.Now()
	if now.Sub(t.lagged.taken) >= milliseconds(control.LagMs) {
		draining := t.draining.Load()
		t.lagged.taken = now
		t.lagged.health = Health{
			Ready:    !draining && now.UnixNano() >= t.coldUntil.Load(),
			Draining: draining,
		}
		t.lagged.load = Load{InFlight: t.counters.inFlight.now.Load(), Slots: t.config.Slots}
	}
	return t.lagged.health, t.lagged.load
}

package sidecar

import (
	"errors"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/coldstart"
)

// errEvacuated means that the zone of the target was evacuated before the request was sent.
var errEvacuated = errors.New("the zone of the target is evacuated")

// setEvacuated sets whether the zone of the target is evacuated, and until when requests with
// keys are run nevertheless. Requests that wait are refused then; those at the target run to
// completion. After an evacuation it is not known whether the target is cold.
func (b *backend) setEvacuated(evacuated bool, keysUntil clock.Time) {
	b.keysUntil.Store(int64(keysUntil))
	if b.evacuated.Swap(evacuated) == evacuated {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if evacuated {
		b.applyDecisions(nil, b.queue.RefuseWaiting())
		return
	}
	now := clock.Now()
	b.cold.tracker.Doubt(coldstart.EvacuationEnded, now)
	b.coldChanged(now)
}

// evacuatedFor reports whether the evacuation of the zone forbids to send a request with or
// without a key to the target.
func (b *backend) evacuatedFor(keyed bool, now clock.Time) bool {
	return b.evacuated.Load() && !(keyed && now.Before(clock.Time(b.keysUntil.Load())))
}

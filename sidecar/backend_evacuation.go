package sidecar

import (
	"errors"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/coldstart"
)

// errEvacuated means that the zone of the target was evacuated before the request was sent.
var errEvacuated = errors.New("the zone of the target is evacuated")

// setEvacuated sets whether the zone of the target is evacuated. Requests that wait are refused
// then; those at the target run to completion. After an evacuation it is not known whether the
// target is cold.
func (b *backend) setEvacuated(evacuated bool) {
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

package sidecar

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/loadstate"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/workqueue"
)

const (
	// coldRunFactor is the ratio of a run to the time that its class and the stated speed
	// explain from which on the target may be cold. Work at cold targets takes several times as
	// long as usual.
	coldRunFactor = 3.0
	// minColdExcess keeps short requests, whose times vary more, from looking like those of a
	// cold target.
	minColdExcess = 150 * time.Millisecond
)

// observeServerLoad applies the load that the current target has stated in a response.
func (b *backend) observeServerLoad(l platform.ServerLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cold.statesLoad = true
	b.queue.ObserveLoad(loadstate.Figures{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Slowness: l.Slowness}, clock.Now())
}

// suspectCold makes a health check due if a request that has ended took much longer than its
// class and the stated speed explain. The caller holds b.mu, and the queue has the item still.
func (b *backend) suspectCold(item *workqueue.Item, completion workqueue.Completion, took time.Duration, now clock.Time) {
	if completion != workqueue.Answered || !b.cold.statesLoad {
		return
	}
	if expected := b.queue.TypicalTime(item); expected > 0 && took > time.Duration(coldRunFactor*float64(expected))+minColdExcess {
		b.cold.tracker.Suspect(now)
	}
}

// statedLoad returns what the target has stated last about its load, for metrics.
func (b *backend) statedLoad() (loadstate.Figures, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f, _, ok := b.queue.StatedLoad(clock.Now())
	return f, ok
}

// placeableElsewhere reports whether a daemon that is not the own one has a target that may
// run a request of the own service.
func (b *backend) placeableElsewhere() bool {
	v := b.d.control.view.Load()
	current := b.incarnation.Load()
	if current == nil {
		return false
	}
	s := v.services[current.service]
	if s == nil {
		return false
	}
	for _, t := range s.targets {
		if !t.local && t.ready && !t.suspected {
			return true
		}
	}
	return false
}

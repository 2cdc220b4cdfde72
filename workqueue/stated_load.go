package workqueue

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/loadstate"
)

const (
	// sensitivityWeight is the weight of one request in the moving average of the
	// sensitivity to stated slowness.
	sensitivityWeight = 0.03
	// minStatedChange is the stated deviation from the usual speed from which on a request
	// tells the sensitivity.
	minStatedChange = 0.3
	// minSampleWeight is the weight of a request during which the target has stated nothing, so
	// that the estimate of a target with few requests still follows.
	minSampleWeight = 0.1
	// maxSensitivity bounds the moving average and its samples.
	maxSensitivity = 1.5
	// minFactor is the smallest factor that a stated speed puts on a service time.
	minFactor = 0.2
)

// statedLoad is what the target states about its load, and how service times follow it.
type statedLoad struct {
	state loadstate.State
	// sensitivity is the share of the stated deviation from the usual speed by which the service
	// time of a request differs that starts then. It is 1 if the speed at its start rules, and
	// less if the speed changes while it runs.
	sensitivity float64
}

// factor returns the service time relative to the usual one at a stated slowness.
func (l *statedLoad) factor(slowness float64) float64 {
	return max(1+l.sensitivity*(slowness-1), minFactor)
}

// at returns the expected service time, relative to the usual one, of an item that starts at a
// time.
func (l *statedLoad) at(t clock.Time) float64 { return l.factor(l.state.Slowness(t)) }

// normal returns the service time of an item that started at a time as if the target had had
// its usual speed, and the weight of this sample. By the end of the item more is known about
// the speed at its start than at that time. A sample whose speed is not known has little weight.
func (l *statedLoad) normal(took float64, started clock.Time) (normal, weight float64) {
	slowness, weight := l.state.SlownessAt(started)
	if weight == 0 { // the target does not state its load
		return took, 1
	}
	return took / l.factor(slowness), max(weight, minSampleWeight)
}

// learn records the service time, relative to the mean of the class, of an item that started at
// a time.
func (l *statedLoad) learn(ratio float64, started clock.Time) {
	slowness, weight := l.state.SlownessAt(started)
	change := slowness - 1
	if change > -minStatedChange && change < minStatedChange {
		return
	}
	sample := min(max((ratio-1)/change, 0), maxSensitivity)
	l.sensitivity += sensitivityWeight * weight * (sample - l.sensitivity)
}

// ObserveLoad records the load that the target has stated in a response that was received at a
// time.
func (q *Queue) ObserveLoad(f loadstate.Figures, received clock.Time) {
	q.estimator.load.state.Observe(f, received)
}

// StatedLoad returns what the target has stated last about its load, and its age. It reports
// false if it has stated nothing.
func (q *Queue) StatedLoad(now clock.Time) (f loadstate.Figures, age time.Duration, ok bool) {
	return q.estimator.load.state.Newest(now)
}

// TypicalTime returns the service time that the class of an item and the speed that the target
// has stated since its start explain; 0 if nothing of the class is known, or if it has ended.
func (q *Queue) TypicalTime(item *Item) time.Duration {
	mean, ok := q.estimator.classes[item.Class]
	if !ok {
		return 0
	}
	for i := range q.running {
		if r := &q.running[i]; r.item.ID == item.ID {
			slowest := max(q.estimator.load.factor(q.estimator.load.state.Slowest(r.since)), 1)
			return time.Duration(mean * slowest * float64(time.Second))
		}
	}
	return 0
}

// refuseWhileSlow reports whether an item that could start now would miss its objective only
// because of the target's speed at this moment, and by how much. Another target then runs it
// in time.
func (q *Queue) refuseWhileSlow(item *Item, usual, took time.Duration, now clock.Time) (late time.Duration, refuse bool) {
	late = now.Add(took).Sub(item.Objective)
	return late, item.Movable && took > usual && late > 0 && now.Add(usual).Sub(item.Objective) <= 0
}

// maxLoadAge is the age up to which the stated numbers of requests tell whether the target is
// full. A slot is taken or released every few milliseconds.
const maxLoadAge = 100 * time.Millisecond

// statesFreeSlots reports whether the target has just stated that it has free slots and that
// no request waits in it.
func (q *Queue) statesFreeSlots(now clock.Time) bool {
	f, age, ok := q.StatedLoad(now)
	return ok && age <= maxLoadAge && f.Waiting == 0 && f.Running < f.Slots
}

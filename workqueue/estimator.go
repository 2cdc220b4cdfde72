package workqueue

import (
	"math"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const (
	// classWeight is the weight of one request in the mean time of its class.
	classWeight = 0.08
	// paceWeight is the same for the target's pace and failures, which follow
	// faster, since a target that turns slow or fails is to be avoided.
	paceWeight = 0.06
	// firstGuess is the share of the objective that a request of an unknown
	// class is expected to take.
	firstGuess = 0.3
	// slowAge is the ratio of the running requests' mean age to their usual
	// time above which the target has slowed down. Steady work has 0.5 to 0.7.
	slowAge = 1.2
	// loadHalf is the half-life of arrivals in the average of the arriving work:
	// about the time in which a burst shows.
	loadHalf = 350 * time.Millisecond
	// maxCrowding bounds how much urgent arrivals stretch a wait.
	maxCrowding = 4.0
)

// pace learns how fast a target is.
type pace struct {
	classes  map[string]float64 // mean seconds at the target
	relative float64            // mean time as a share of the objective
	failing  float64            // share of requests that failed
	work     [math.MaxUint8 + 1]arriving
	used     []int // indexes of work in use
}

// arriving is the work that arrives at one urgency, in target seconds a second:
// an average whose weights fall by half in loadHalf.
type arriving struct {
	rate float64
	at   clock.Time
}

func newPace() pace { return pace{classes: make(map[string]float64), relative: firstGuess} }

func (p *pace) arrived(item *Item, now clock.Time) {
	u := int(item.Priority)
	a := &p.work[u]
	if a.at == clock.Never {
		a.at = now
		p.used = append(p.used, u)
	}
	a.decay(now)
	a.rate += p.usual(item).Seconds() * math.Ln2 / loadHalf.Seconds()
}

func (a *arriving) decay(now clock.Time) {
	if gone := now.Sub(a.at); gone > 0 {
		a.rate *= math.Exp2(-gone.Seconds() / loadHalf.Seconds())
		a.at = now
	}
}

// offered returns the work that arrives, in target seconds a second.
func (p *pace) offered(now clock.Time) float64 {
	sum := 0.0
	for _, u := range p.used {
		p.work[u].decay(now)
		sum += p.work[u].rate
	}
	return sum
}

// crowding is the factor by which more urgent requests, which go first, stretch
// the wait of an item at a target that runs limit requests at once.
func (p *pace) crowding(item *Item, limit int) float64 {
	free := 1 - p.urgent(item.Priority)/float64(limit)
	return min(1/max(free, 1/maxCrowding), maxCrowding)
}

// urgent returns the arriving work that is more urgent than priority, in target
// seconds a second: the slots that it fills.
func (p *pace) urgent(priority uint8) float64 {
	sum := 0.0
	for _, u := range p.used {
		if u > int(priority) {
			sum += p.work[u].rate
		}
	}
	return sum
}

// usual returns how long an item is expected to take from what ended lately.
func (p *pace) usual(item *Item) time.Duration {
	if mean, ok := p.classes[item.Class]; ok {
		return time.Duration(mean * float64(time.Second))
	}
	return time.Duration(float64(item.Objective.Sub(item.Arrived)) * firstGuess)
}

// expect returns the same at a target that has slowed down by a factor.
func (p *pace) expect(item *Item, slowdown float64) time.Duration {
	return time.Duration(float64(p.usual(item)) * slowdown)
}

// slowdown returns the ratio of the ages of what runs to the usual times, or 1
// for a target that has not slowed down.
func (p *pace) slowdown(now []running, at clock.Time) float64 {
	var age, usual time.Duration
	for i := range now {
		age += at.Sub(now[i].since)
		usual += p.usual(&now[i].item)
	}
	if usual <= 0 {
		return 1
	}
	if ratio := float64(age) / float64(usual); ratio > slowAge {
		return ratio
	}
	return 1
}

func (p *pace) finished(item *Item, ending Ending, took time.Duration) {
	mean, ok := p.classes[item.Class]
	if !ok {
		mean = took.Seconds()
	}
	switch ending {
	case NotSent, Left:
		return
	case Shed, Failed:
		p.failing += paceWeight * (1 - p.failing)
		if ending == Shed || took.Seconds() < mean {
			return
		}
		// The request would have taken longer still.
	default:
		p.failing -= paceWeight * p.failing
	}
	p.classes[item.Class] = mean + classWeight*(took.Seconds()-mean)
	if objective := item.Objective.Sub(item.Arrived); objective > 0 {
		p.relative += paceWeight * (float64(took)/float64(objective) - p.relative)
	}
}

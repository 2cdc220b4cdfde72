package hedge

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const (
	// minQuantile and maxQuantile bound the quantile of the response times after which a copy
	// is sent. Between them the quantile follows the operators' limit, so that the copies which
	// it allows go to the slowest requests.
	minQuantile = 0.95
	maxQuantile = 0.99
	// minLater is the least weight of observations above the quantile: with fewer, one slow
	// response decides it.
	minLater = 2.0
	// minDelay is the shortest delay of a copy. Below it, a copy saves less than it costs.
	minDelay = 10 * time.Millisecond
	// finishQuantile is the quantile of the response times that must be left until the deadline
	// when a copy is sent.
	finishQuantile = 0.75
	// maxBacklog is the longest time that the link of the instance may take to send what was
	// handed to it before.
	maxBacklog = 10 * time.Millisecond
	// maxBody is the size of a request body above which there is no copy, in bytes. The body is
	// held twice while both are in progress, and the callers' requests are below 8 KB.
	maxBody = 64 << 10
	// freeShare is the share of a target's slots that must be free for a copy, so that copies do
	// not fill the targets.
	freeShare = 0.25
	// usefulWeight is the weight of one copy in the share of copies that are answered first.
	usefulWeight = 1.0 / 16
	// minUseful is the least share of copies that are answered first. Below it, one of
	// probeInterval copies is sent: the requests are slow for a reason that another target does
	// not avoid.
	minUseful     = 0.2
	probeInterval = 8
	// staleWeight is the weight of observations below which a route is forgotten when another
	// one is first seen.
	staleWeight = 0.01
)

// Request is what a decision depends on before the request is sent.
type Request struct {
	Route         string
	Idempotent    bool
	Keyed         bool // only one target may run it
	LargeResponse bool
	Suspected     bool // it may crash targets
	AttemptsLeft  int  // targets that it may be sent to, including the first one
	Body          int  // bytes
	Left          time.Duration
}

// State is what a decision depends on when the delay has passed.
type State struct {
	Route       string
	CallerLeft  bool
	Suspected   bool
	Left        time.Duration // to the deadline
	LinkBacklog time.Duration // what the link of the instance takes to send all that was handed to it
	Spare       bool          // another target has free slots
}

// Policy holds one daemon's observations and its share of the operators' limit. It must be
// used by one goroutine at a time.
type Policy struct {
	limit    limit
	quantile float64
	routes   map[string]*route
}

type route struct {
	times   Estimate
	useful  float64 // share of copies that were answered first
	refused int     // copies that were refused as useless since the last one
}

// New returns a policy whose copies are at most share of all requests.
func New(share float64) *Policy {
	return &Policy{limit: limit{share: share}, quantile: min(max(1-share, minQuantile), maxQuantile), routes: make(map[string]*route)}
}

// CountRequest counts a request of a caller, of any kind. The limit is a share of them.
func (p *Policy) CountRequest() { p.limit.request() }

// Delay returns the time after which a copy of a request may be sent. The refusal is None if
// there is one.
func (p *Policy) Delay(r *Request) (time.Duration, Refusal) {
	switch {
	case !r.Idempotent, r.Keyed, r.LargeResponse, r.Suspected, r.Body > maxBody:
		return 0, Ineligible
	case r.AttemptsLeft < 2:
		return 0, Attempts
	}
	s := p.routes[r.Route]
	if s == nil || s.times.Weight()*(1-p.quantile) < minLater {
		return 0, Unknown
	}
	delay := max(s.times.Quantile(p.quantile), minDelay)
	if r.Left < delay+s.times.Quantile(finishQuantile) {
		return 0, TimeLeft
	}
	return delay, None
}

// Admit decides on a copy when its delay has passed, and takes it from the limit if the
// refusal is None.
func (p *Policy) Admit(s State) Refusal {
	r := p.routes[s.Route]
	switch {
	case s.CallerLeft:
		return CallerLeft
	case s.Suspected:
		return Ineligible
	case r == nil:
		return Unknown
	case s.Left < r.times.Quantile(finishQuantile):
		return TimeLeft
	case s.LinkBacklog > maxBacklog:
		return Link
	case !s.Spare:
		return Capacity
	case r.useful < minUseful && r.refused+1 < probeInterval:
		r.refused++
		return Useless
	case !p.limit.take():
		return Limit
	}
	r.refused = 0
	return None
}

// Withdraw returns an admitted copy to the limit that was not sent.
func (p *Policy) Withdraw() { p.limit.giveBack() }

// Observe records how long the response to a request took, since its first copy was sent. A
// request without a response is observed when it is given up.
func (p *Policy) Observe(name string, took time.Duration, now clock.Time) {
	r := p.routes[name]
	if r == nil {
		p.forget(now)
		r = &route{useful: 1}
		p.routes[name] = r
	}
	r.times.Observe(took, now)
}

// ObserveCopy records whether a copy that was sent has been answered first.
func (p *Policy) ObserveCopy(name string, first bool) {
	r := p.routes[name]
	if r == nil {
		return
	}
	won := 0.0
	if first {
		won = 1
	}
	r.useful += usefulWeight * (won - r.useful)
}

// forget removes routes without recent observations, which newer configurations may not have.
func (p *Policy) forget(now clock.Time) {
	for name, r := range p.routes {
		r.times.decay(now)
		if r.times.Weight() < staleWeight {
			delete(p.routes, name)
		}
	}
}

// Spare reports whether a target has free slots for a copy.
func Spare(inFlight, slots int) bool {
	return float64(slots-inFlight) >= max(1, freeShare*float64(slots))
}

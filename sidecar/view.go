package sidecar

import (
	"sync/atomic"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/hedge"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/ownertable"
	"github.com/parsleystack/parsleystack/routetable"
	"github.com/parsleystack/parsleystack/wire"
)

// view is the state by which requests are routed. It is immutable except for the
// loads.
type view struct {
	routes         *routetable.Table // nil until there is a configuration
	services       map[ident.Service]*serviceView
	daemons        int  // that are not suspected, including this one
	configBehind   bool // another daemon has a newer configuration
	receivedStatus bool // another daemon has sent a status to this process
	stopping       bool
}

// serviceView has the targets of one service and, if it is divided by key, its
// assignment table.
type serviceView struct {
	targets []*targetView
	byName  map[ident.Instance]*targetView
	table   *ownertable.Table // nil if none was read yet
}

// targetView is the state of one target and its daemon.
type targetView struct {
	instance ident.Instance
	target   ownertable.Target
	addr     string
	zone     ident.Zone
	local    bool
	ready    bool
	// unreachable is set while the target refuses connections. It owns its keys, and serves
	// none.
	unreachable bool
	evacuated   bool // its zone is
	// keysUntil is until when a target of an evacuated zone still runs requests with keys.
	keysUntil clock.Time
	suspected bool
	load      *targetLoad
}

// targetLoad is the newest load of a target. It is shared by successive views.
type targetLoad struct {
	inFlight     atomic.Int64 // as reported, plus requests sent by this daemon since
	limit        atomic.Int64
	latencyRatio atomic.Uint64 // in units of 1/ratioScale
	failureRatio atomic.Uint64 // in units of 1/ratioScale
	// stated is what the target has stated in the newest response that this daemon passed
	// on; nil if nothing. It may be of an earlier target of the instance.
	stated atomic.Pointer[targetStatement]
}

// ready reports whether callers can be served.
func (v *view) ready() bool { return v.routes != nil && !v.stopping && len(v.services) > 0 }

// ratioScale converts the ratios of a load to integers.
const ratioScale = 1000

// observeResponse records the load that a response of the target's daemon states. Responses to
// requests that the daemon has not admitted state none.
func (l *targetLoad) observeResponse(resp *wire.Response) {
	if resp.Capacity > 0 {
		l.inFlight.Store(int64(resp.InFlight))
		l.limit.Store(int64(resp.Capacity))
		return
	}
	l.inFlight.Add(-1)
}

// usableResponse reports whether the response of another daemon has an outcome that this
// version knows and, if the request ran, a status that a caller can use.
func usableResponse(resp *wire.Response) bool {
	switch resp.Kind {
	case outcome.Done:
		return 200 <= resp.Status && resp.Status <= 599
	case outcome.NotRun, outcome.Unknown:
		return true
	}
	return false
}

func (l *targetLoad) report(load *fleet.Load) {
	l.inFlight.Store(int64(load.Running + load.Waiting))
	l.limit.Store(int64(load.Limit))
	l.latencyRatio.Store(uint64(load.LatencyRatio * ratioScale))
	l.failureRatio.Store(uint64(load.FailureRatio * ratioScale))
}

// raiseLatency records that a request with an objective was not answered within a time. It holds
// until the next report.
func (l *targetLoad) raiseLatency(took, objective time.Duration) {
	if objective <= 0 {
		return
	}
	ratio := uint64(ratioScale * float64(took) / float64(objective))
	for old := l.latencyRatio.Load(); ratio > old && !l.latencyRatio.CompareAndSwap(old, ratio); old = l.latencyRatio.Load() {
	}
}

// observeStatement records what the target states in a response that is passed on to a
// caller, or that it states nothing any more. A departure is final.
func (l *targetLoad) observeStatement(headers []wire.Header, now clock.Time) {
	value := statementField(headers)
	for {
		old := l.stated.Load()
		if value == nil && (old == nil || !old.limited) {
			return
		}
		next := new(targetStatement)
		if value != nil {
			var err error
			if next, err = decodeStatement(value, now); err != nil {
				return // of another version of the daemon
			}
		} else {
			next.target = old.target
		}
		if old != nil && old.target == next.target && old.leavingSince != clock.Never {
			next.leavingSince = old.leavingSince
		}
		if next.empty() {
			next = nil
		}
		if l.stated.CompareAndSwap(old, next) {
			return
		}
	}
}

// statesLeaving reports whether the target has stated its departure in a response that
// this daemon passed on.
func (l *targetLoad) statesLeaving(t ownertable.Target) bool {
	s := l.stated.Load()
	return s != nil && s.target == t && s.leavingSince != clock.Never
}

// evacuatedFromKeys reports whether the target runs no requests with keys because its zone is
// evacuated.
func (t *targetView) evacuatedFromKeys(now clock.Time) bool {
	return t.evacuated && !now.Before(t.keysUntil)
}

// spare reports whether the target has free slots for the second copy of a request.
func (t *targetView) spare() bool {
	return !t.suspected && hedge.Spare(int(t.load.inFlight.Load()), int(t.load.limit.Load()))
}

// owner returns the target that owns a key, or nil if it is not known or was
// replaced.
func (s *serviceView) owner(key uint32) *targetView {
	if s.table == nil {
		return nil
	}
	o := s.table.Find(key).Owner
	t := s.byName[o.Instance]
	if t == nil || t.target != o.Target {
		return nil
	}
	return t
}

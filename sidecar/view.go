package sidecar

import (
	"sync/atomic"

	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/ownertable"
	"github.com/parsleystack/parsleystack/routetable"
)

// view is what requests are routed by. It is immutable but for the loads.
type view struct {
	routes   *routetable.Table // nil until a configuration is known
	services map[ident.Service]*serviceView
	daemons  int  // that take part, this one included
	behind   bool // another daemon has a newer configuration
	stopping bool
}

// serviceView is one service's targets and, if it is divided by key, owners.
type serviceView struct {
	targets []*targetView
	byName  map[ident.Instance]*targetView
	owners  *ownertable.Table // nil if there is none yet
}

// targetView is a target as an entry sees it.
type targetView struct {
	instance ident.Instance
	target   ownertable.Target
	addr     string
	zone     ident.Zone
	local    bool
	ready    bool
	silent   bool
	load     *targetLoad
}

// targetLoad is the newest load known of a target. It outlives views.
type targetLoad struct {
	inFlight atomic.Int64 // reported, and sent from here since
	limit    atomic.Int64
	pace     atomic.Uint64 // thousandths
	failing  atomic.Uint64 // thousandths
}

// ready reports whether callers can be served.
func (v *view) ready() bool { return v.routes != nil && !v.stopping && len(v.services) > 0 }

const thousand = 1000

func (l *targetLoad) report(load *fleet.Load) {
	l.inFlight.Store(int64(load.Running + load.Waiting))
	l.limit.Store(int64(load.Limit))
	l.pace.Store(uint64(load.Pace * thousand))
	l.failing.Store(uint64(load.Failing * thousand))
}

// owner returns the daemon of a key's owner, or nil.
func (s *serviceView) owner(key uint32) *targetView {
	if s.owners == nil {
		return nil
	}
	o := s.owners.Find(key).Owner
	t := s.byName[o.Instance]
	if t == nil || t.target != o.Target {
		return nil
	}
	return t
}

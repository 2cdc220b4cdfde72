package sidecar

import (
	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/ownertable"
)

// publish builds the view anew.
func (c *control) publish() {
	c.stale = false
	c.spreadNews()
	v := &view{routes: c.routes, services: make(map[ident.Service]*serviceView), daemons: 1, stopping: c.stopping}
	v.behind = c.routes != nil && c.newest > uint64(c.routes.Version())
	if c.self.State != fleet.TargetUnknown {
		v.add(c.targetView(&c.self, true, false, c.stopping))
	}
	for _, p := range c.dir.Peers() {
		if !c.silent[ident.Instance(p.Member.Instance)] {
			v.daemons++
		}
		if p.Member.State != fleet.TargetUnknown {
			v.add(c.targetView(&p.Member, false, c.silent[ident.Instance(p.Member.Instance)], p.Stopping))
		}
	}
	for name, t := range c.owners {
		v.service(name).owners = t
	}
	if old := c.view.Load(); old.routes == nil && v.ready() {
		logevent.Log(c.log, logevent.SidecarReady, zap.Uint64("config", uint64(v.routes.Version())), zap.Duration("after", clock.Now().Sub(c.d.started)))
	}
	c.view.Store(v)
	c.d.viewChanged()
}

func (v *view) service(name ident.Service) *serviceView {
	s := v.services[name]
	if s == nil {
		s = &serviceView{byName: make(map[ident.Instance]*targetView)}
		v.services[name] = s
	}
	return s
}

func (v *view) add(t *targetView, service ident.Service) {
	s := v.service(service)
	s.targets = append(s.targets, t)
	s.byName[t.instance] = t
}

func (c *control) targetView(m *fleet.Member, local, silent, stopping bool) (*targetView, ident.Service) {
	name := ident.Instance(m.Instance)
	return &targetView{
		instance: name,
		target:   ownertable.Target{ID: m.TargetID, Born: m.TargetBorn},
		addr:     m.Addr,
		zone:     ident.Zone(m.Zone),
		local:    local,
		ready:    m.State == fleet.TargetReady && !stopping,
		silent:   silent,
		load:     c.load(name, m.Slots),
	}, ident.Service(m.Service)
}

func (c *control) load(name ident.Instance, slots int) *targetLoad {
	l := c.loads[name]
	if l == nil {
		l = new(targetLoad)
		l.report(&fleet.Load{Limit: slots, Pace: firstPace})
		c.loads[name] = l
	}
	return l
}

// firstPace is assumed of a target before its daemon reports one.
const firstPace = 0.35

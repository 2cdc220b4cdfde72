package sidecar

import (
	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/ownertable"
)

// publishView builds and publishes a new view.
func (c *control) publishView() {
	c.viewStale = false
	c.updateFanOut()
	v := &view{routes: c.routes, services: make(map[ident.Service]*serviceView), daemons: 1, stopping: c.stopping}
	v.receivedStatus = c.receivedStatus
	v.configBehind = c.routes != nil && c.newestConfig > uint64(c.routes.Version())
	if c.self.State != fleet.TargetUnknown {
		v.add(c.targetView(&c.self, true, false, c.stopping))
	}
	for _, p := range c.dir.Peers() {
		if !c.suspected[ident.Instance(p.Member.Instance)] {
			v.daemons++
		}
		if p.Member.State != fleet.TargetUnknown {
			v.add(c.targetView(&p.Member, false, c.suspected[ident.Instance(p.Member.Instance)], p.Stopping))
		}
	}
	for name, t := range c.tables {
		v.service(name).table = t
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

func (c *control) targetView(m *fleet.Member, local, suspected, stopping bool) (*targetView, ident.Service) {
	name := ident.Instance(m.Instance)
	return &targetView{
		instance:    name,
		target:      ownertable.Target{ID: m.TargetID, StartTime: m.TargetStartMS},
		addr:        m.Addr,
		zone:        ident.Zone(m.Zone),
		local:       local,
		ready:       m.State == fleet.TargetReady && !stopping && !c.zones.Contains(ident.Zone(m.Zone)),
		keysUntil:   c.keysUntil[ident.Zone(m.Zone)],
		evacuated:   c.zones.Contains(ident.Zone(m.Zone)),
		unreachable: m.State == fleet.TargetUnreachable,
		suspected:   suspected,
		load:        c.peerLoad(name, m.Slots),
	}, ident.Service(m.Service)
}

func (c *control) peerLoad(name ident.Instance, slots int) *targetLoad {
	l := c.loads[name]
	if l == nil {
		l = new(targetLoad)
		l.report(&fleet.Load{Limit: slots, LatencyRatio: initialLatencyRatio})
		c.loads[name] = l
	}
	return l
}

// initialLatencyRatio is assumed for a target until its daemon reports one.
const initialLatencyRatio = 0.35

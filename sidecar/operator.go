package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/parsleystack/parsleystack/admin"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/ownertable"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/quarantine"
)

// operator implements admin.Backend. It answers from the state of the control
// goroutine, so an answer shows the state of this daemon and not that of the fleet.
type operator struct {
	d *Daemon
}

// errBusy is returned if the control goroutine does not answer before the deadline.
var errBusy = &admin.Error{
	Status:  http.StatusServiceUnavailable,
	Problem: "the daemon did not answer in time",
	Remedy:  "retry, or ask another daemon",
}

// Status implements admin.Backend.
func (o *operator) Status(ctx context.Context) (*admin.Status, error) {
	var s *admin.Status
	if !o.d.control.doAndWait(ctx, func() { s = o.d.control.operatorStatus(clock.Now()) }) {
		return nil, errBusy
	}
	return s, nil
}

// Explain implements admin.Backend. key is the number that a caller sends.
func (o *operator) Explain(ctx context.Context, svc ident.Service, key string) (*admin.Explanation, error) {
	point, err := strconv.ParseUint(key, 10, 32)
	if err != nil || point > ownertable.MaxKey {
		return nil, &admin.Error{
			Status:  http.StatusBadRequest,
			Problem: fmt.Sprintf("%q is not a key of this deployment", key),
			Remedy:  fmt.Sprintf("name a number from 0 to %d, as callers send it", ownertable.MaxKey),
		}
	}
	var ex *admin.Explanation
	if !o.d.control.doAndWait(ctx, func() { ex, err = o.d.control.explain(svc, uint32(point)) }) {
		return nil, errBusy
	}
	return ex, err
}

// Drain implements admin.Backend.
func (o *operator) Drain(context.Context, *admin.DrainRequest) (*admin.DrainResponse, error) {
	return nil, &admin.Error{
		Status:  http.StatusConflict,
		Problem: "daemons on this platform do not support the drain command",
		Remedy:  "stop the target through the platform, so that it announces its departure, or send SIGTERM to the daemon",
	}
}

// ConfirmLoss implements admin.Backend.
func (o *operator) ConfirmLoss(context.Context, *admin.ConfirmLossRequest) (*admin.ConfirmLossResponse, error) {
	return nil, &admin.Error{
		Status:  http.StatusConflict,
		Problem: "losses need no confirmation on this platform",
		Remedy:  "run parsley status: the keys of a lost instance move once its grants have expired and the store is reachable",
	}
}

// Release implements admin.Backend.
func (o *operator) Release(ctx context.Context, req *admin.ReleaseRequest) (*admin.ReleaseResponse, error) {
	f, err := quarantine.ParseFingerprint(req.Fingerprint)
	if err != nil {
		return nil, &admin.Error{Status: http.StatusBadRequest, Problem: err.Error(), Remedy: "copy the fingerprint from parsley status"}
	}
	released, service := false, ident.Service("")
	if !o.d.control.doAndWait(ctx, func() { released, service = o.d.control.release(f), ident.Service(o.d.control.self.Service) }) {
		return nil, errBusy
	}
	if !released {
		return nil, &admin.Error{
			Status:  http.StatusNotFound,
			Problem: fmt.Sprintf("no request with this fingerprint is suspected or quarantined for service %q", service),
			Remedy:  "send the command to a daemon of the service whose targets have crashed, as event 7317 (request quarantined) names it",
		}
	}
	return &admin.ReleaseResponse{Fingerprint: req.Fingerprint}, nil
}

// operatorStatus returns the state of this daemon.
func (c *control) operatorStatus(now clock.Time) *admin.Status {
	s := c.d.settings()
	load := c.d.backend.load()
	st := &admin.Status{
		Instance: s.Instance, Incarnation: ident.Incarnation(c.self.Incarnation), Zone: s.Zone, Service: ident.Service(c.self.Service),
		Ready: c.view.Load().ready(), Draining: c.stopping,
		Target: admin.TargetStatus{
			Addr: s.TargetAddr, Ready: c.self.State == fleet.TargetReady,
			InFlight: int(load.Running), Queued: int(load.Waiting), Slots: c.self.Slots,
		},
		Log: admin.LogStatus{Addr: s.Store.Addr, Reachable: c.d.storeLink.reachable(), TailAge: now.Sub(c.agent.LastRead())},
	}
	c.describeConfiguration(&st.Config)
	if c.routes != nil {
		for _, svc := range c.routes.Services() {
			st.Cells = append(st.Cells, c.describeService(svc.Name, now))
		}
	}
	st.Warnings = c.warnings(now)
	return st
}

func (c *control) describeConfiguration(out *admin.ConfigStatus) {
	out.PeerSeen = platformlog.Offset(c.newestConfig)
	out.Services = []admin.ServiceVersion{}
	if c.routes == nil {
		out.Fault = "this daemon has no configuration yet"
		return
	}
	out.Offset = platformlog.Offset(c.routes.Version())
	out.AtTail = uint64(out.Offset) >= c.newestConfig
	for _, svc := range c.routes.Services() {
		out.Services = append(out.Services, admin.ServiceVersion{Service: svc.Name, Version: out.Offset})
	}
}

// describeService returns the daemons and shards of a service.
func (c *control) describeService(name ident.Service, now clock.Time) admin.CellStatus {
	cell := admin.CellStatus{Service: name, Term: uint64(c.applied), Leaderless: true, Complete: c.directoryLoaded, Members: []admin.MemberStatus{}, Ranges: []admin.RangeStatus{}}
	if c.self.Service == string(name) {
		cell.Members = append(cell.Members, c.describeMember(&c.self, c.configVersion()))
	}
	for _, p := range c.dir.Peers() {
		if p.Member.Service == string(name) {
			cell.Members = append(cell.Members, c.describeMember(&p.Member, p.Config))
		}
	}
	t := c.tables[name]
	if t == nil {
		return cell
	}
	for i := range t.Shards {
		r := &t.Shards[i]
		out := admin.RangeStatus{Range: rangeString(r), Owner: c.ownerName(r.Owner), Token: strconv.FormatUint(r.Token, 10)}
		if r.Owner == c.owner() && r.Revoked == ownertable.NotRevoked && now.Before(c.heartbeats.grantsExpire) {
			out.LeaseLeft = c.heartbeats.grantsExpire.Sub(now)
		}
		cell.Ranges = append(cell.Ranges, out)
	}
	return cell
}

// configVersion returns the version of the current configuration, 0 if there is none.
func (c *control) configVersion() uint64 {
	if c.routes == nil {
		return 0
	}
	return uint64(c.routes.Version())
}

func (c *control) describeMember(m *fleet.Member, config uint64) admin.MemberStatus {
	return admin.MemberStatus{
		Instance: ident.Instance(m.Instance), Incarnation: ident.Incarnation(m.Incarnation), Zone: ident.Zone(m.Zone),
		Addr: m.Addr, Slots: m.Slots, ConfigOffset: platformlog.Offset(config),
	}
}

// ownerName returns instance#incarnation of an owner's daemon, without the
// incarnation if the daemon is not in the directory.
func (c *control) ownerName(o ownertable.Owner) string {
	if o.IsZero() {
		return ""
	}
	if string(o.Instance) == c.self.Instance {
		return ident.Node{Instance: o.Instance, Incarnation: ident.Incarnation(c.self.Incarnation)}.String()
	}
	if p := c.dir.Peer(o.Instance); p != nil {
		return ident.Node{Instance: o.Instance, Incarnation: ident.Incarnation(p.Member.Incarnation)}.String()
	}
	return string(o.Instance)
}

func rangeString(r *ownertable.Shard) string { return fmt.Sprintf("%d-%d", r.From, r.To) }

// warnings lists conditions that make requests fail or wait.
func (c *control) warnings(now clock.Time) []string {
	var list []string
	for _, p := range c.dir.Peers() {
		if c.suspected[ident.Instance(p.Member.Instance)] {
			list = append(list, fmt.Sprintf("%s of %s has sent no status for %v", p.Member.Instance, p.Member.Service, now.Sub(p.LastSeen)))
		}
	}
	if len(c.evacuatedZones) > 0 {
		list = append(list, fmt.Sprintf("the targets of the zones %v get no requests, since the operator evacuates these zones", c.evacuatedZones))
	}
	if s := c.d.backend.coldTarget(); s.Cold {
		list = append(list, fmt.Sprintf("the target is in cold start, or may be, for %v (%s); it gets %g requests a second", now.Sub(s.Since), s.Evidence, c.coldLimit().PerSecond))
	}
	if c.routes != nil && c.newestConfig > c.configVersion() {
		list = append(list, fmt.Sprintf("another daemon has configuration %d", c.newestConfig))
	}
	if load := c.d.backend.load(); load.RateLimited {
		list = append(list, limitWarning(c.self.TargetID, c.self.Service, load.RateLimit))
	}
	for _, p := range c.dir.Peers() {
		if p.Load.RateLimited {
			list = append(list, limitWarning(p.Member.TargetID, p.Member.Service, p.Load.RateLimit))
		}
	}
	for _, f := range c.d.suspects.Load().Quarantined() {
		list = append(list, fmt.Sprintf("requests with the fingerprint %v have crashed several targets and are refused; see parsley release", f))
	}
	if c.keyed() && c.agent.LeaseLeft(c.otherMembers(), now) <= 0 {
		list = append(list, "the lease is not confirmed, so the target is granted no keys")
	}
	return list
}

func limitWarning(target, service string, perSecond float64) string {
	return fmt.Sprintf("target %s of %s states that it accepts %v requests a second", target, service, perSecond)
}

// explain returns the owner of a key and, if the key is not served, the reason.
func (c *control) explain(svc ident.Service, key uint32) (*admin.Explanation, error) {
	if c.routes == nil {
		return nil, &admin.Error{Status: http.StatusServiceUnavailable, Problem: "this daemon has no configuration yet", Remedy: "check that this daemon reaches the store"}
	}
	in, ok := c.routes.Service(svc)
	if !ok {
		return nil, &admin.Error{Status: http.StatusNotFound, Problem: fmt.Sprintf("service %q is not in configuration %d", svc, c.routes.Version()), Remedy: "check its name with parsley status"}
	}
	ex := &admin.Explanation{
		Service: svc, Key: strconv.FormatUint(uint64(key), 10), Point: fmt.Sprintf("%04x", key),
		Divided: in.Keyed, Version: platformlog.Offset(c.routes.Version()),
	}
	if !in.Keyed {
		ex.Why = "the service is not divided by key; any ready target serves the request"
		return ex, nil
	}
	t := c.tables[svc]
	if t == nil {
		ex.Why = "this daemon has not read the assignment table yet"
		return ex, nil
	}
	r := t.Find(key)
	ex.Range, ex.Token, ex.Owner = rangeString(r), strconv.FormatUint(r.Token, 10), c.ownerName(r.Owner)
	ex.Why = c.explainShard(r)
	if p := c.dir.Peer(r.Owner.Instance); p != nil {
		ex.Addr = p.Member.Addr
	}
	return ex, nil
}

// explainShard describes the state of a shard's owner.
func (c *control) explainShard(r *ownertable.Shard) string {
	switch {
	case r.Unassigned():
		return "the range has no owner; a daemon of the service assigns it to a target when the store is reachable"
	case r.Revoked == ownertable.RevokedToMove:
		return fmt.Sprintf("the range moves to %s once the owner has released it or its grant has expired", r.NextOwner.Instance)
	case r.Revoked == ownertable.RevokedSuspected:
		return fmt.Sprintf("the owner's daemon stopped sending statuses; the range moves to %s once its grant has expired", r.NextOwner.Instance)
	case string(r.Owner.Instance) == c.self.Instance:
		return c.explainOwner(&c.self, r.Owner, false)
	}
	p := c.dir.Peer(r.Owner.Instance)
	if p == nil {
		return "the owner's daemon was removed from the directory"
	}
	return c.explainOwner(&p.Member, r.Owner, c.suspected[r.Owner.Instance])
}

func (c *control) explainOwner(m *fleet.Member, o ownertable.Owner, suspected bool) string {
	switch {
	case m.TargetID != o.Target.ID || m.TargetStartMS != o.Target.StartTime:
		return fmt.Sprintf("the owner is an earlier target, %s, which another one has replaced", o.Target.ID)
	case suspected:
		return "the owner's daemon is suspected: it has sent no recent status"
	case m.State != fleet.TargetReady:
		return "the owner's target is " + m.State.String()
	}
	return "it is the owner in the current assignment table, and its target is ready"
}

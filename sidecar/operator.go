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
)

// operator implements admin.Backend. It answers from what the control goroutine
// knows, so that a daemon explains what it believes itself.
type operator struct {
	d *Daemon
}

// errBusy is the answer while the control goroutine does not get to it.
var errBusy = &admin.Error{
	Status:  http.StatusServiceUnavailable,
	Problem: "the daemon did not answer in time",
	Remedy:  "ask again, or ask another daemon",
}

// Status implements admin.Backend.
func (o *operator) Status(ctx context.Context) (*admin.Status, error) {
	var s *admin.Status
	if !o.d.control.ask(ctx, func() { s = o.d.control.operatorStatus(clock.Now()) }) {
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
			Problem: fmt.Sprintf("%q is no key of this deployment", key),
			Remedy:  fmt.Sprintf("name a number from 0 to %d, as callers send it", ownertable.MaxKey),
		}
	}
	var ex *admin.Explanation
	if !o.d.control.ask(ctx, func() { ex, err = o.d.control.explain(svc, uint32(point)) }) {
		return nil, errBusy
	}
	return ex, err
}

// Drain implements admin.Backend.
func (o *operator) Drain(context.Context, *admin.DrainRequest) (*admin.DrainAnswer, error) {
	return nil, &admin.Error{
		Status:  http.StatusConflict,
		Problem: "on this platform a daemon doesn't take orders to drain",
		Remedy:  "let the platform stop the target, which reports that it leaves, or send SIGTERM to the daemon",
	}
}

// ConfirmLoss implements admin.Backend.
func (o *operator) ConfirmLoss(context.Context, *admin.ConfirmLossRequest) (*admin.ConfirmLossAnswer, error) {
	return nil, &admin.Error{
		Status:  http.StatusConflict,
		Problem: "on this platform no loss waits for a confirmation",
		Remedy:  "look at parsley status: keys of a lost instance move once its holds have run out and the store answers",
	}
}

// operatorStatus describes what the daemon knows.
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
		Log: admin.LogStatus{Addr: s.Store.Addr, Reachable: c.d.link.fresh(), TailAge: now.Sub(c.agent.LastRead())},
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
	out.PeerSeen = platformlog.Offset(c.newest)
	out.Services = []admin.ServiceVersion{}
	if c.routes == nil {
		out.Fault = "no configuration is known yet"
		return
	}
	out.Offset = platformlog.Offset(c.routes.Version())
	out.AtTail = uint64(out.Offset) >= c.newest
	for _, svc := range c.routes.Services() {
		out.Services = append(out.Services, admin.ServiceVersion{Service: svc.Name, Version: out.Offset})
	}
}

// describeService lists the daemons and rows of a service.
func (c *control) describeService(name ident.Service, now clock.Time) admin.CellStatus {
	cell := admin.CellStatus{Service: name, Term: uint64(c.read), Leaderless: true, Complete: c.loaded, Members: []admin.MemberStatus{}, Ranges: []admin.RangeStatus{}}
	if c.self.Service == string(name) {
		cell.Members = append(cell.Members, c.describeMember(&c.self, c.configVersion()))
	}
	for _, p := range c.dir.Peers() {
		if p.Member.Service == string(name) {
			cell.Members = append(cell.Members, c.describeMember(&p.Member, p.Config))
		}
	}
	t := c.owners[name]
	if t == nil {
		return cell
	}
	for i := range t.Rows {
		r := &t.Rows[i]
		out := admin.RangeStatus{Range: rangeName(r), Owner: c.ownerName(r.Owner), Token: strconv.FormatUint(r.Token, 10)}
		if r.Owner == c.owner() && r.Revoked == ownertable.NotRevoked && now.Before(c.beats.lapse) {
			out.LeaseLeft = c.beats.lapse.Sub(now)
		}
		cell.Ranges = append(cell.Ranges, out)
	}
	return cell
}

// configVersion returns the version in force, 0 if there is none.
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

// ownerName returns instance#incarnation of an owner's daemon, as far as it is
// known.
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

func rangeName(r *ownertable.Row) string { return fmt.Sprintf("%d-%d", r.From, r.To) }

// warnings names what makes answers fail or keys wait.
func (c *control) warnings(now clock.Time) []string {
	var list []string
	for _, p := range c.dir.Peers() {
		if c.silent[ident.Instance(p.Member.Instance)] {
			list = append(list, fmt.Sprintf("%s of %s has not been heard for %v", p.Member.Instance, p.Member.Service, now.Sub(p.Heard)))
		}
	}
	if c.routes != nil && c.newest > c.configVersion() {
		list = append(list, fmt.Sprintf("another daemon has configuration %d", c.newest))
	}
	if c.keyed() && c.agent.LeaseLeft(c.others(), now) <= 0 {
		list = append(list, "the lease is not confirmed, so the target is granted no keys")
	}
	return list
}

// explain says who owns a key and what keeps it from being served.
func (c *control) explain(svc ident.Service, key uint32) (*admin.Explanation, error) {
	if c.routes == nil {
		return nil, &admin.Error{Status: http.StatusServiceUnavailable, Problem: "no configuration is known yet", Remedy: "look whether the store answers this daemon"}
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
		ex.Why = "any ready target takes the request"
		return ex, nil
	}
	t := c.owners[svc]
	if t == nil {
		ex.Why = "no table of owners was read yet"
		return ex, nil
	}
	r := t.Find(key)
	ex.Range, ex.Token, ex.Owner = rangeName(r), strconv.FormatUint(r.Token, 10), c.ownerName(r.Owner)
	ex.Why = c.explainRow(r)
	if p := c.dir.Peer(r.Owner.Instance); p != nil {
		ex.Addr = p.Member.Addr
	}
	return ex, nil
}

// explainRow says what is known of a row's owner.
func (c *control) explainRow(r *ownertable.Row) string {
	switch {
	case r.Free():
		return "nobody owns the range; a daemon of the service gives it to a target when the store answers"
	case r.Revoked == ownertable.RevokedToMove:
		return fmt.Sprintf("the range moves to %s once the owner has let it go or its hold has run out", r.Next.Instance)
	case r.Revoked == ownertable.RevokedSilent:
		return fmt.Sprintf("the owner's daemon fell silent; the range moves to %s once its hold has run out", r.Next.Instance)
	case string(r.Owner.Instance) == c.self.Instance:
		return c.explainOwner(&c.self, r.Owner, false)
	}
	p := c.dir.Peer(r.Owner.Instance)
	if p == nil {
		return "the owner's daemon is not in the directory any more"
	}
	return c.explainOwner(&p.Member, r.Owner, c.silent[r.Owner.Instance])
}

func (c *control) explainOwner(m *fleet.Member, o ownertable.Owner, silent bool) string {
	switch {
	case m.TargetID != o.Target.ID || m.TargetBorn != o.Target.Born:
		return fmt.Sprintf("the owner was an earlier target, %s; another one runs in its place", o.Target.ID)
	case silent:
		return "the owner's daemon is silent"
	case m.State != fleet.TargetReady:
		return "the owner's target is " + m.State.String()
	}
	return "the table of owners in force names it, and its target is ready"
}

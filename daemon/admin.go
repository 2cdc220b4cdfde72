package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/admin"
	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog"
)

// backend implements admin.Backend.
type backend struct {
	d *Daemon
}

// logUnreachableAfter is the age of the last read to the end of a stream from
// which the log is reported as unreachable.
const logUnreachableAfter = 15 * time.Second

// Status implements admin.Backend.
func (b *backend) Status(context.Context) (*admin.Status, error) {
	d := b.d
	s := &admin.Status{
		Instance:    d.node.Instance,
		Incarnation: d.node.Incarnation,
		Region:      d.settings.Region,
		Zone:        d.settings.Zone,
		Service:     d.settings.Service,
		Ready:       d.follower.InForce().Ready,
		Draining:    d.draining.Load(),
		Target:      b.target(),
		Config:      b.config(),
		Log:         admin.LogStatus{Addr: d.settings.Log.Addr},
		Warnings:    d.faults.list(),
	}
	if m := d.member.Load(); m != nil {
		v := m.View()
		s.Cells = []admin.CellStatus{b.cell(v)}
		s.Log.TailAge = clock.Now().Sub(v.LastTail)
		s.Log.Reachable = s.Log.TailAge < logUnreachableAfter
	}
	return s, nil
}

func (b *backend) target() admin.TargetStatus {
	return admin.TargetStatus{
		Addr:     b.d.settings.Target.Addr,
		Ready:    b.d.targetUp.Load(),
		InFlight: int(b.d.owner.InFlight()),
		Slots:    b.d.settings.Target.Slots,
	}
}

func (b *backend) config() admin.ConfigStatus {
	f := b.d.follower.InForce()
	status := b.d.follower.Status()
	c := admin.ConfigStatus{Offset: f.Offset, AtTail: f.Ready, PeerSeen: status.NewestPeerOffset}
	if status.Fault != nil {
		c.Fault = status.Fault.Error()
	}
	for _, name := range f.Services() {
		svc := f.Service(name)
		v := admin.ServiceVersion{Service: name, Version: svc.Version}
		if svc.Blocked != nil {
			v.Blocked = svc.Blocked.Error()
		}
		c.Services = append(c.Services, v)
	}
	return c
}

func (b *backend) cell(v *cell.View) admin.CellStatus {
	c := admin.CellStatus{
		Service:     b.d.settings.Service,
		Region:      b.d.settings.Region,
		Term:        v.Term,
		Leader:      v.Leader.String(),
		Deputy:      v.Deputy.String(),
		Complete:    v.Complete(),
		Provisional: v.Provisional,
	}
	for _, m := range v.Members {
		c.Members = append(c.Members, memberStatus(m, b.configOffset(m.Node)))
	}
	for _, g := range v.Assignments {
		c.Ranges = append(c.Ranges, rangeStatus(g, v.Holdings))
	}
	return c
}

// configOffset returns the offset of the configuration in force at a member, or
// 0 if it is not known.
func (b *backend) configOffset(node ident.Node) platformlog.Offset {
	if node == b.d.node {
		return b.d.follower.InForce().Offset
	}
	return b.d.peerOffsets.get(node)
}

func memberStatus(m cell.Member, offset platformlog.Offset) admin.MemberStatus {
	return admin.MemberStatus{
		Instance:     m.Node.Instance,
		Incarnation:  m.Node.Incarnation,
		Zone:         m.Zone,
		Addr:         m.Addr,
		Slots:        m.Capacity,
		ConfigOffset: offset,
	}
}

func rangeStatus(g cell.Grant, holdings []cell.Holding) admin.RangeStatus {
	r := admin.RangeStatus{Range: g.Range.String(), Owner: g.Owner.String(), Token: g.Token.String()}
	for _, h := range holdings {
		if h.Grant == g {
			r.LeaseLeft = h.Expires.Sub(clock.Now())
		}
	}
	return r
}

// Explain implements admin.Backend.
func (b *backend) Explain(ctx context.Context, svc ident.Service, key string) (*admin.Explanation, error) {
	d := b.d
	in := d.follower.InForce().Service(svc)
	if in == nil {
		return nil, &admin.Error{
			Status:  404,
			Problem: fmt.Sprintf("service %q is not in force", svc),
			Remedy:  "publish its service file, or check its name with parsley status",
		}
	}
	p := keyspace.Hash(svc, []byte(key))
	ex := &admin.Explanation{
		Service: svc,
		Key:     key,
		Point:   fmt.Sprintf("%016x", uint64(p)),
		Divided: in.Spec.Divided(),
		Version: in.Version,
		Cell:    string(cell.StreamName(svc, d.settings.Region, 0)),
	}
	entries, err := d.directory.Refresh(ctx, svc, p)
	if err != nil {
		ex.Why = err.Error()
		return ex, nil
	}
	for _, e := range entries {
		if e.Range.Contains(p) {
			ex.Range, ex.Owner, ex.Addr, ex.Token = e.Range.String(), e.Owner.String(), e.Addr, e.Token.String()
			ex.Why = "the cell's leader or deputy names this owner"
			return ex, nil
		}
	}
	ex.Why = "no owner is assigned: the cell has no leader, or no member with a ready target"
	return ex, nil
}

// Drain implements admin.Backend.
func (b *backend) Drain(context.Context, *admin.DrainRequest) (*admin.DrainResponse, error) {
	started := b.d.startDrain()
	return &admin.DrainResponse{Instance: b.d.node.Instance, Already: !started}, nil
}

// ConfirmLoss implements admin.Backend.
func (b *backend) ConfirmLoss(ctx context.Context, req *admin.ConfirmLossRequest) (*admin.ConfirmLossResponse, error) {
	m := b.d.member.Load()
	if req.Service != b.d.settings.Service || m == nil {
		return nil, &admin.Error{
			Status:  409,
			Problem: fmt.Sprintf("this daemon is not a member of a cell of service %q", req.Service),
			Remedy:  "send the confirmation to a daemon of that service",
		}
	}
	node := ident.Node{Instance: req.Instance, Incarnation: req.Incarnation}
	if err := m.Post(ctx, cell.ConfirmLoss{Node: node, Operator: req.Operator}); err != nil {
		return nil, err
	}
	return &admin.ConfirmLossResponse{Node: node.String()}, nil
}

// Release implements admin.Backend.
func (b *backend) Release(context.Context, *admin.ReleaseRequest) (*admin.ReleaseResponse, error) {
	return nil, &admin.Error{
		Status:  409,
		Problem: "parsleyd quarantines no requests",
		Remedy:  "send the command to a daemon of parsley-sidecar",
	}
}

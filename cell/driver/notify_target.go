package driver

import (
	"context"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
)

// holdingSet is the set of holdings of which the target was notified, by grant.
type holdingSet map[cell.Grant]cell.Holding

// notifyTarget sends control requests to the target for new grants and for
// grants that were released.
func (d *Driver) notifyTarget(ctx context.Context, holdings []cell.Holding) {
	next := make(holdingSet, len(holdings))
	for _, h := range holdings {
		next[h.Grant] = h
	}
	granted, revoked := d.granted.diff(next, clock.Now())
	d.granted = next
	for _, h := range granted {
		go d.grant(ctx, h)
	}
	for _, g := range revoked {
		go d.revoke(ctx, g)
	}
}

// diff returns the grants of which the target must be notified when the holdings
// change from s to next. A grant whose lease has expired is not revoked: a
// leader may renew it with the same token, which a target refuses permanently
// once it has been revoked. A grant that was replaced is not revoked either,
// since the newer token supersedes the older one.
func (s holdingSet) diff(next holdingSet, now clock.Time) (granted []cell.Holding, revoked []cell.Grant) {
	for g, h := range next {
		if _, known := s[g]; !known {
			granted = append(granted, h)
		}
	}
	for g, h := range s {
		_, still := next[g]
		if !still && h.Releasing && now.Before(h.Expires) {
			revoked = append(revoked, g)
		}
	}
	return granted, revoked
}

func (d *Driver) grant(ctx context.Context, h cell.Holding) {
	reqCtx, cancel := context.WithTimeout(ctx, d.cfg.ControlTimeout)
	defer cancel()
	if err := d.cfg.Target.Grant(reqCtx, h); err != nil {
		d.cfg.Observer.Failed(err)
	}
}

func (d *Driver) revoke(ctx context.Context, g cell.Grant) {
	reqCtx, cancel := context.WithTimeout(ctx, d.cfg.ControlTimeout)
	defer cancel()
	if err := d.cfg.Target.Revoke(reqCtx, g); err != nil {
		d.cfg.Observer.Failed(err)
	}
}

func (d *Driver) prepare(ctx context.Context, g cell.Grant) {
	reqCtx, cancel := context.WithTimeout(ctx, d.cfg.ControlTimeout)
	defer cancel()
	if err := d.cfg.Target.Prepare(reqCtx, g); err != nil {
		d.cfg.Observer.Failed(err)
		return
	}
	d.post(ctx, cell.Prepared{Range: g.Range, Token: g.Token})
}

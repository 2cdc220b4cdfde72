package driver

import (
	"context"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
)

// heldSet is the set of holdings that the target was told of, by their grant.
type heldSet map[cell.Grant]cell.Holding

// orderTarget tells the target of grants that are new and of grants that were
// given up.
func (d *Driver) orderTarget(ctx context.Context, holdings []cell.Holding) {
	next := make(heldSet, len(holdings))
	for _, h := range holdings {
		next[h.Grant] = h
	}
	granted, revoked := d.held.orders(next, clock.Now())
	d.held = next
	for _, h := range granted {
		go d.grant(ctx, h)
	}
	for _, g := range revoked {
		go d.revoke(ctx, g)
	}
}

// orders returns what the target must be told of the change to next. A grant
// whose lease has lapsed is not revoked: a leader may renew it with the same
// token, which a target refuses for good once it was revoked. A grant that was
// replaced is not revoked either, since the newer token refuses the older one.
func (s heldSet) orders(next heldSet, now clock.Time) (granted []cell.Holding, revoked []cell.Grant) {
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
	octx, cancel := context.WithTimeout(ctx, d.cfg.OrderTimeout)
	defer cancel()
	if err := d.cfg.Target.Grant(octx, h); err != nil {
		d.cfg.Observer.Failed(err)
	}
}

func (d *Driver) revoke(ctx context.Context, g cell.Grant) {
	octx, cancel := context.WithTimeout(ctx, d.cfg.OrderTimeout)
	defer cancel()
	if err := d.cfg.Target.Revoke(octx, g); err != nil {
		d.cfg.Observer.Failed(err)
	}
}

func (d *Driver) prepare(ctx context.Context, g cell.Grant) {
	octx, cancel := context.WithTimeout(ctx, d.cfg.OrderTimeout)
	defer cancel()
	if err := d.cfg.Target.Prepare(octx, g); err != nil {
		d.cfg.Observer.Failed(err)
		return
	}
	d.post(ctx, cell.Prepared{Range: g.Range, Token: g.Token})
}

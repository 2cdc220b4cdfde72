package driver

import (
	"context"

	"github.com/parsleystack/parsleystack/cell"
)

// heldSet is the set of grants that the target was told of.
type heldSet map[cell.Grant]struct{}

// orderTarget tells the target of grants that are new and of grants that are gone.
func (d *Driver) orderTarget(ctx context.Context, holdings []cell.Holding) {
	next := make(heldSet, len(holdings))
	for _, h := range holdings {
		next[h.Grant] = struct{}{}
		if _, known := d.held[h.Grant]; !known {
			go d.grant(ctx, h)
		}
	}
	for g := range d.held {
		if _, still := next[g]; !still {
			go d.revoke(ctx, g)
		}
	}
	d.held = next
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

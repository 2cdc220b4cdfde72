package daemon

import (
	"context"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/cell/driver"
	"github.com/parsleystack/parsleystack/config"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/service"
)

// configChanged hands the newest configuration to the goroutine of applyConfig.
func (d *Daemon) configChanged(f *config.InForce) {
	select {
	case <-d.specs:
	default:
	}
	d.specs <- f
}

// applyConfig puts configurations in force in the request path and joins the
// cell as soon as the own service is configured.
func (d *Daemon) applyConfig(ctx context.Context, join func(*driver.Driver)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-d.specs:
			d.putInForce(f)
			if err := d.joinCell(f, join); err != nil {
				return err
			}
		}
	}
}

func (d *Daemon) putInForce(f *config.InForce) {
	if !f.Ready {
		return
	}
	specs := make([]service.Spec, 0, len(f.Services()))
	for _, name := range f.Services() {
		specs = append(specs, *f.Service(name).Spec)
	}
	d.router.SetSpecs(f.Offset, specs)
	if own := f.Service(d.settings.Service); own != nil {
		d.owner.SetSpec(f.Offset, *own.Spec)
	}
}

func (d *Daemon) joinCell(f *config.InForce, join func(*driver.Driver)) error {
	own := f.Service(d.settings.Service)
	if !f.Ready || own == nil || d.member.Load() != nil {
		return nil
	}
	m, err := driver.New(driver.Config{
		Cell:       d.cellConfig(own.Spec),
		Stream:     cell.StreamName(d.settings.Service, d.settings.Region, 0),
		Log:        d.platform,
		Sender:     d,
		LeaseTable: d.leases,
		Target:     d,
		Observer:   d,
	})
	if err != nil {
		return err
	}
	d.member.Store(m)
	join(m)
	logevent.Log(d.log, logevent.DaemonReady, zap.Stringer("node", d.node), zap.Uint64("config", uint64(f.Offset)))
	return nil
}

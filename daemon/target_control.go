package daemon

import (
	"context"
	"errors"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
)

// errTargetNotReady makes the cell driver retry the preparation.
var errTargetNotReady = errors.New("daemon: the target is not ready to take over a range; wait until it has started")

// Grant implements driver.Target.
func (d *Daemon) Grant(_ context.Context, h cell.Holding) error {
	return d.target.Grant(d.settings.Service, h.Grant, h.Expires.Sub(clock.Now()))
}

// Prepare implements driver.Target.
func (d *Daemon) Prepare(context.Context, cell.Grant) error {
	health, err := d.target.Health()
	if err != nil {
		return err
	}
	if !health.Ready {
		return errTargetNotReady
	}
	return nil
}

// Revoke implements driver.Target.
func (d *Daemon) Revoke(_ context.Context, g cell.Grant) error {
	return d.target.Revoke(d.settings.Service, g)
}

package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/logevent"
)

const (
	// healthInterval is the time between two checks of the target's health endpoint.
	healthInterval = 250 * time.Millisecond
	// healthFailures is the number of consecutive failed checks after which the
	// target counts as not ready.
	healthFailures = 3
)

// watchTarget reports to the cell whether the target accepts requests. The
// health endpoint may be late or wrong; overload that it does not show is
// limited by admission.
func (d *Daemon) watchTarget(ctx context.Context) error {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	failures := 0
	for {
		ready := d.targetReady(&failures)
		if ready != d.targetUp.Load() && (ready || failures == 0 || failures >= healthFailures) {
			d.setTargetUp(ready)
		}
		if m := d.member.Load(); m != nil {
			_ = m.Post(ctx, cell.TargetState{Ready: d.targetUp.Load()})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// targetReady checks the target once. failures counts consecutive failed checks.
func (d *Daemon) targetReady(failures *int) bool {
	health, err := d.target.Health()
	if err != nil {
		*failures++
		return false
	}
	*failures = 0
	return health.Ready && !health.Draining
}

func (d *Daemon) setTargetUp(up bool) {
	d.targetUp.Store(up)
	event := logevent.TargetNotReady
	if up {
		event = logevent.TargetReady
	}
	logevent.Log(d.log, event, zap.String("target", d.settings.Target.Addr))
}

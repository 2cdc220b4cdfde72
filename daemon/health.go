package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/logevent"
)

const (
	// healthInterval is the time between questions to the target's health endpoint.
	healthInterval = 250 * time.Millisecond
	// healthFailures is the number of failed questions in a row after which the
	// target counts as not ready.
	healthFailures = 3
)

// watchTarget tells the cell whether the target takes requests. The health
// endpoint may lag or mislead; admission limits what it cannot see.
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

// targetReady asks once. failures counts the questions without an answer.
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

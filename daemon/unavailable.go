package daemon

import (
	"context"
	"time"

	"github.com/parsleystack/parsleystack/entry"
	"github.com/parsleystack/parsleystack/outcome"
)

// unavailableInterval is the resolution of the time in which callers' requests
// had keys without an owner.
const unavailableInterval = time.Second

// unavailableReasons are the reasons of rejections because of a missing owner.
var unavailableReasons = []outcome.Reason{
	outcome.WrongOwner,
	outcome.Moving,
	outcome.NoOwner,
	outcome.LeaseExpired,
}

// unavailable sums the intervals in which a request of a caller of this daemon
// was held or rejected because its key had no owner.
type unavailable struct {
	total uint64 // total number of requests held or rejected so far
}

// step updates the state with the newest total and returns the time to add: one
// interval if the total has changed.
func (u *unavailable) step(total uint64) time.Duration {
	if total == u.total {
		return 0
	}
	u.total = total
	return unavailableInterval
}

// requestsWithoutOwner returns the number of requests that were held or rejected
// because their key had no owner.
func requestsWithoutOwner(s *entry.Stats) uint64 {
	total := s.Held()
	for _, reason := range unavailableReasons {
		total += s.NotRun(reason)
	}
	return total
}

// watchUnavailable updates the metric until ctx is canceled.
func (d *Daemon) watchUnavailable(ctx context.Context) error {
	ticker := time.NewTicker(unavailableInterval)
	defer ticker.Stop()
	var u unavailable
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.metrics.unavailable.Add(u.step(requestsWithoutOwner(d.gateway.Stats())).Seconds())
		}
	}
}

package daemon

import (
	"context"
	"time"

	"github.com/parsleystack/parsleystack/entry"
	"github.com/parsleystack/parsleystack/outcome"
)

// unavailableInterval is the resolution of the time for which callers met keys
// without an owner.
const unavailableInterval = time.Second

// unavailableReasons are the reasons of refusals for want of an owner.
var unavailableReasons = []outcome.Reason{
	outcome.WrongOwner,
	outcome.Moving,
	outcome.NoOwner,
	outcome.LeaseExpired,
}

// unavailable adds up the intervals in which a caller of this daemon was held
// or refused because its key had no owner.
type unavailable struct {
	met uint64 // times that a caller was held or refused so far
}

// step takes the newest count and returns the time that counts as unavailable.
func (u *unavailable) step(met uint64) time.Duration {
	if met == u.met {
		return 0
	}
	u.met = met
	return unavailableInterval
}

// withoutOwnerMet returns the times that a caller was held or refused because
// its key had no owner.
func withoutOwnerMet(s *entry.Stats) uint64 {
	met := s.Held()
	for _, reason := range unavailableReasons {
		met += s.NotRun(reason)
	}
	return met
}

// watchUnavailable counts until ctx ends.
func (d *Daemon) watchUnavailable(ctx context.Context) error {
	ticker := time.NewTicker(unavailableInterval)
	defer ticker.Stop()
	var u unavailable
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.metrics.unavailable.Add(u.step(withoutOwnerMet(d.gateway.Stats())).Seconds())
		}
	}
}

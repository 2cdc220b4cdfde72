package config

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Operators' races, lost answers, late appends, expiry, outages and restarts:
// no daemon's configuration reverts, all agree with the fold of the whole
// stream at their offset (checked by sim.show), and once the faults end all
// daemons reach the end of the stream.
func TestConfigurationNeverRevertsAndAllAgree(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(1)
	params.MinSuccessfulTests = 60
	var total simStats
	properties := gopter.NewProperties(params)
	properties.Property("agreement", prop.ForAll(func(seed uint64) string {
		s := newSim(seed, 4)
		for range 1500 {
			s.disturb()
			s.advance(time.Duration(s.rng.Int64N(int64(2 * simStep))))
		}
		s.settle()
		total = total.plus(s.stats)
		if s.lost {
			total.lost++
		}
		return s.unsettled()
	}, gen.UInt64().WithShrinker(gopter.NoShrinker)))
	properties.TestingRun(t)
	t.Logf("%+v", total)
	if total.snapshots == 0 || total.pulls == 0 || total.gaps == 0 {
		t.Errorf("the runs do not exercise snapshots, pulls and gaps: %+v", total)
	}
}

// unsettled names a daemon that has not reached the end of the stream, or
// returns "".
func (s *sim) unsettled() string {
	if s.lost {
		return s.unreported()
	}
	for _, d := range s.daemons {
		if d.shown == nil || !d.shown.Ready {
			return fmt.Sprint(d.node, " is not ready: ", d.fault)
		}
		if d.shown.Offset < s.end {
			return d.node.String() + " lags"
		}
	}
	return ""
}

// unreported names a daemon that lacks records, has read what the log still
// holds and does not say that there is a gap, or returns "".
func (s *sim) unreported() string {
	for _, d := range s.daemons {
		var gap *TruncatedError
		lags := d.shown == nil || d.shown.Offset < s.end
		reading := d.core.readsLog && !d.core.reads.inFlight
		if lags && reading && !errors.As(d.fault, &gap) {
			return fmt.Sprint(d.node, " does not report the gap")
		}
	}
	return ""
}

func (a simStats) plus(b simStats) simStats {
	a.restarts += b.restarts
	a.snapshots += b.snapshots
	a.pulls += b.pulls
	a.gaps += b.gaps
	a.lost += b.lost
	return a
}

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

// Simulates concurrent publishing, lost responses, delayed appends, expired
// records, outages of the log and restarts. The test fails if the configuration of
// a daemon goes back to an older offset, if it differs from the state computed from
// all records up to its offset (both checked by sim.checkInForce), or if a daemon
// does not reach the end of the stream after the faults have stopped.
func TestConfigurationNeverRevertsAndAllAgree(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(1)
	params.MinSuccessfulTests = 60
	var total simStats
	properties := gopter.NewProperties(params)
	properties.Property("agreement", prop.ForAll(func(seed uint64) string {
		s := newSim(seed, 4)
		for range 1500 {
			s.injectFault()
			s.advance(time.Duration(s.rng.Int64N(int64(2 * simStep))))
		}
		s.stopFaults()
		total = total.plus(s.stats)
		if s.stateLost {
			total.lost++
		}
		return s.notConverged()
	}, gen.UInt64().WithShrinker(gopter.NoShrinker)))
	properties.TestingRun(t)
	t.Logf("%+v", total)
	if total.snapshots == 0 || total.pulls == 0 || total.truncations == 0 {
		t.Errorf("the runs do not cover snapshots, pulls and truncated reads: %+v", total)
	}
}

// notConverged describes a daemon that has not reached the end of the stream. It
// returns "" if there is none.
func (s *sim) notConverged() string {
	if s.stateLost {
		return s.unreportedTruncation()
	}
	for _, d := range s.daemons {
		if d.inForce == nil || !d.inForce.Ready {
			return fmt.Sprint(d.node, " is not ready: ", d.fault)
		}
		if d.inForce.Offset < s.end {
			return d.node.String() + " has not reached the end of the stream"
		}
	}
	return ""
}

// unreportedTruncation describes a daemon that lacks expired records, has read what
// the log still holds and does not report a TruncatedError. It returns "" if there
// is none.
func (s *sim) unreportedTruncation() string {
	for _, d := range s.daemons {
		var truncated *TruncatedError
		behind := d.inForce == nil || d.inForce.Offset < s.end
		reading := d.core.readsLog && !d.core.reads.inFlight
		if behind && reading && !errors.As(d.fault, &truncated) {
			return fmt.Sprint(d.node, " does not report the expired records")
		}
	}
	return ""
}

func (a simStats) plus(b simStats) simStats {
	a.restarts += b.restarts
	a.snapshots += b.snapshots
	a.pulls += b.pulls
	a.truncations += b.truncations
	a.lost += b.lost
	return a
}

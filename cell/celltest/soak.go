package celltest

import (
	"context"
	"errors"
	"math/rand"
	"sync/atomic"

	"github.com/leanovate/gopter"
	"golang.org/x/sync/errgroup"
)

// worldSeedStep is the difference of the seeds of successive worlds. It is large
// to spread them over the seed space.
const worldSeedStep = 0x9E3779B97F4A7C

// Soak runs random worlds until they have made Steps steps in total or one
// violates an invariant.
type Soak struct {
	Options  Options
	Seed     int64
	Steps    int64
	Size     int             // instances per world; 0 selects a random number for each
	Profile  Profile         // profile of all worlds; "" selects a random one for each
	Rule     string          // name of the rule in ProtocolRules to disable, if any
	Workers  int             // worlds that run in parallel
	Progress func(SoakStats) // if set, called after each world, by one goroutine
}

// SoakStats holds totals over the worlds of a soak.
type SoakStats struct {
	Worlds         int64
	Steps          int64
	VirtualSeconds int64 // seconds of simulated time
	Acks           int64 // acknowledged grants
	Terms          int64
	Recoveries     int64
	LostStreams    int64 // worlds that ended because the log was truncated without a snapshot
	Counts         [faultKinds]int64
}

// Failure is a schedule that violates an invariant.
type Failure struct {
	Schedule  *Schedule
	Violation *Violation
}

// errFailed stops the other workers of a soak after a violation.
var errFailed = errors.New("celltest: a world violates an invariant; see the failure returned")

// NewSchedule returns the schedule of the world with the given index. It depends
// only on s and index.
func (s *Soak) NewSchedule(index int64) *Schedule {
	seed := s.Seed + index*worldSeedStep
	rng := rand.New(rand.NewSource(seed))
	sch := &Schedule{Seed: seed, Profile: s.Profile, Size: s.Size, Rule: s.Rule}
	if sch.Profile == "" {
		sch.Profile = Profiles[rng.Intn(len(Profiles))]
	}
	if sch.Size == 0 {
		sch.Size = anySize(rng, sch.Profile)
	}
	params := gopter.DefaultGenParameters().CloneWithSeed(rng.Int63())
	faults, _ := GenFaults(sch.Profile, sch.Size)(params).Retrieve()
	sch.Faults = faults.([]Fault)
	return sch
}

// anySize returns a random size of a cell; small cells are frequent. Cells of
// the profiles Single and Corner have at least three instances, because they
// must tolerate the loss of one.
func anySize(rng *rand.Rand, profile Profile) int {
	if rng.Intn(8) == 0 {
		return 3 + rng.Intn(maxSlots-2)
	}
	if profile == Single || profile == Corner {
		return 3 + rng.Intn(3)
	}
	return 1 + rng.Intn(5)
}

// Run runs the soak. The failure is nil if no world violated an invariant.
func (s *Soak) Run() (SoakStats, *Failure) {
	var next, steps atomic.Int64
	results := make(chan Result, s.Workers)
	failures := make(chan *Failure, s.Workers)
	group, ctx := errgroup.WithContext(context.Background())
	for range s.Workers {
		group.Go(func() error {
			for ctx.Err() == nil && steps.Load() < s.Steps {
				sch := s.NewSchedule(next.Add(1) - 1)
				r := Run(s.Options, sch)
				steps.Add(r.Steps)
				results <- r
				if r.Violation != nil {
					failures <- &Failure{Schedule: sch, Violation: r.Violation}
					return errFailed
				}
			}
			return nil
		})
	}
	var stats SoakStats
	done := make(chan struct{})
	go func() {
		defer close(done)
		for r := range results {
			stats.add(r)
			if s.Progress != nil {
				s.Progress(stats)
			}
		}
	}()
	err := group.Wait()
	close(results)
	<-done
	if err != nil {
		return stats, <-failures
	}
	return stats, nil
}

func (st *SoakStats) add(r Result) {
	st.Worlds++
	st.Steps += r.Steps
	st.VirtualSeconds += int64(r.VirtualTime.Seconds())
	st.Acks += r.Acks
	st.Terms += r.Terms
	st.Recoveries += r.Recoveries
	st.LostStreams += r.LostStreams
	for i, n := range r.Counts {
		st.Counts[i] += n
	}
}

package ownertable

import (
	"flag"
	"slices"
	"testing"
	"time"
)

var drillRuns = flag.Int("drill.worlds", 1, "number of random runs of each kind of drill")

const (
	// drillWarmup is the time until all keys are served, drillSpan that in which they
	// must be served again.
	drillWarmup = 25 * time.Second
	drillSpan   = 15 * time.Second
	// maxUnserved is how long keys may not be served once the store is back, where
	// all daemons and targets run or are restarted at once.
	maxUnserved = 4 * time.Second
)

// drillKinds are what happens together with a drill in an otherwise quiet fleet.
var drillKinds = []struct {
	name    string
	bounded bool // by maxUnserved
	with    func(w *simulation, away time.Duration)
}{
	{"store goes back", true, func(*simulation, time.Duration) {}},
	{"twice in a row", true, func(w *simulation, away time.Duration) {
		w.schedule(away+time.Duration(w.rng.IntN(3000))*time.Millisecond, func() { w.goBack() })
	}},
	{"one daemon restarts", true, func(w *simulation, away time.Duration) {
		w.schedule(away/2, func() { w.nodes[1].stop(time.Second) })
	}},
	{"all daemons restart", true, func(w *simulation, away time.Duration) {
		for _, n := range w.nodes {
			w.schedule(away/2, func() { n.stop(time.Second) })
		}
	}},
	{"one daemon without the store for 8 s", false, func(w *simulation, away time.Duration) {
		w.nodes[1].storeCutUntil = w.now + away + 8*time.Second
	}},
	{"one daemon dead, its target runs", false, func(w *simulation, away time.Duration) {
		w.schedule(away/2, func() { w.nodes[1].stop(time.Hour) })
	}},
	{"one instance lost", false, func(w *simulation, away time.Duration) {
		w.schedule(away/2, func() { w.nodes[1].stop(time.Hour); w.nodes[1].target.up = false })
	}},
	{"all daemons restart in a fleet that lost its records", true, func(w *simulation, away time.Duration) {
		w.schedule(away, w.loseMembers)
		for _, n := range w.nodes {
			w.schedule(away/2, func() { n.stop(time.Second) })
		}
	}},
}

// TestKeysAreServedAfterDrill bounds the time in which keys are not served after a
// drill in an otherwise quiet fleet, and logs it for each kind of drill.
func TestKeysAreServedAfterDrill(t *testing.T) {
	for _, kind := range drillKinds {
		t.Run(kind.name, func(t *testing.T) {
			var all []time.Duration
			for seed := range uint64(*drillRuns) {
				w := newFleet(seed, noFault)
				w.quiet = true
				w.startOldFleet()
				if err := w.run(drillWarmup); err != nil {
					t.Fatalf("seed %d: %v\n%s", seed, err, w.history())
				}
				kind.with(w, w.goBack())
				gaps, err := w.unserved(drillSpan)
				if err != nil {
					t.Fatalf("seed %d: %v\n%s", seed, err, w.history())
				}
				if longest := slices.Max(gaps); kind.bounded && longest > maxUnserved {
					t.Errorf("seed %d: a key was not served for %v\n%s", seed, longest, w.history())
				}
				all = append(all, gaps...)
			}
			slices.Sort(all)
			t.Logf("%d runs, longest time without service of a key: least %v, median %v, 9 in 10 %v, most %v", *drillRuns, all[0], all[len(all)/2], all[len(all)*9/10], all[len(all)-1])
		})
	}
}

// unserved runs the simulation and returns the longest time in which no target held
// a key while the store was available, for each sampled key.
func (w *simulation) unserved(span time.Duration) ([]time.Duration, error) {
	gaps := make([]time.Duration, MaxKey/sampledKeys+1)
	running := make([]time.Duration, len(gaps))
	for range span / simStep {
		if err := w.run(simStep); err != nil {
			return nil, err
		}
		for i := range gaps {
			if w.now < w.store.downUntil || w.isHeld(uint32(i*sampledKeys)) {
				running[i] = 0
			} else {
				running[i] += simStep
			}
			gaps[i] = max(gaps[i], running[i])
		}
	}
	return gaps, nil
}

// isHeld reports whether a running target holds a key.
func (w *simulation) isHeld(key uint32) bool {
	for _, n := range w.nodes {
		if n.target.holding(key, w.now) != nil {
			return true
		}
	}
	return false
}

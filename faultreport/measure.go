package faultreport

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/standin/target"
)

// window is the time over which imbalance is measured.
const window = 10 * time.Second

// Imbalance is the largest share of a target over the mean share, 1 if all are
// equal, by windows of the run.
type Imbalance struct {
	Keys []float64 // distinct keys
	Load []float64 // requests
}

// Measures are the measures of one service.
type Measures struct {
	Service   string
	Imbalance Imbalance
	Moves     []Move
	Keys      int // keys that were used
	MovedKeys int // keys that changed their target at least once
}

// Move is a change of the target that serves a key.
type Move struct {
	Key string
	At  time.Duration // first request at the new target, from the start of the load
}

func measure(in *Input, s Service) Measures {
	runs := runsOf(in.Runs, s.Name)
	m := Measures{Service: s.Name}
	m.Moves, m.Keys = moves(in.Start, runs)
	moved := map[string]bool{}
	for _, move := range m.Moves {
		moved[move.Key] = true
	}
	m.MovedKeys = len(moved)
	m.Imbalance = imbalance(in, s, runs)
	return m
}

// runsOf returns the runs of a service in the order of their starts.
func runsOf(all []target.Run, service string) []*target.Run {
	var runs []*target.Run
	for i := range all {
		if all[i].Service == service {
			runs = append(runs, &all[i])
		}
	}
	slices.SortFunc(runs, func(a, b *target.Run) int { return cmp.Compare(a.Start, b.Start) })
	return runs
}

func moves(start time.Time, runs []*target.Run) (all []Move, keys int) {
	last := map[string]string{}
	for _, r := range runs {
		if before, seen := last[r.Key]; seen && before != r.Target {
			all = append(all, Move{Key: r.Key, At: time.Unix(0, r.Start).Sub(start)})
		}
		last[r.Key] = r.Target
	}
	return all, len(last)
}

func imbalance(in *Input, s Service, runs []*target.Run) Imbalance {
	var im Imbalance
	for from := time.Duration(0); from+window <= in.Length; from += window {
		low, high := in.Start.Add(from).UnixNano(), in.Start.Add(from+window).UnixNano()
		load := map[string]int{}
		keys := map[string]map[string]bool{}
		for _, r := range runs {
			if r.Start < low || r.Start >= high {
				continue
			}
			load[r.Target]++
			if keys[r.Target] == nil {
				keys[r.Target] = map[string]bool{}
			}
			keys[r.Target][r.Key] = true
		}
		distinct := map[string]int{}
		for name, set := range keys {
			distinct[name] = len(set)
		}
		im.Load = append(im.Load, overMean(load, len(s.Instances)))
		im.Keys = append(im.Keys, overMean(distinct, len(s.Instances)))
	}
	return im
}

// overMean returns the largest count over the mean of n targets, 0 if there is
// none.
func overMean(counts map[string]int, n int) float64 {
	total, most := 0, 0
	for _, c := range counts {
		total += c
		most = max(most, c)
	}
	if total == 0 {
		return 0
	}
	return float64(most) * float64(n) / float64(total)
}

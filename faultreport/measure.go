package faultreport

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/standin/target"
)

// imbalanceWindow is the length of the windows for which imbalance is computed.
const imbalanceWindow = 10 * time.Second

// Imbalance is the largest share of any target divided by the mean share, for each
// window of the run; 1 means that all shares are equal.
type Imbalance struct {
	Keys []float64 // distinct keys
	Load []float64 // requests
}

// ServiceMetrics are the balance and churn metrics of one service.
type ServiceMetrics struct {
	Service   string
	Imbalance Imbalance
	Moves     []Move
	Keys      int // distinct keys in requests
	MovedKeys int // keys whose target changed at least once
}

// Move is a change of the target that serves a key.
type Move struct {
	Key string
	At  time.Duration // first request at the new target, from the start of the load
}

func serviceMetrics(in *Input, s Service) ServiceMetrics {
	runs := runsOfService(in.Runs, s.Name)
	m := ServiceMetrics{Service: s.Name}
	m.Moves, m.Keys = moves(in.Start, runs)
	moved := map[string]bool{}
	for _, move := range m.Moves {
		moved[move.Key] = true
	}
	m.MovedKeys = len(moved)
	m.Imbalance = imbalance(in, s, runs)
	return m
}

// runsOfService returns the runs of a service, ordered by start time.
func runsOfService(all []target.Run, service string) []*target.Run {
	var runs []*target.Run
	for i := range all {
		if all[i].Service == service {
			runs = append(runs, &all[i])
		}
	}
	slices.SortFunc(runs, func(a, b *target.Run) int { return cmp.Compare(a.Start, b.Start) })
	return runs
}

// moves returns the changes of target of all keys, and the number of distinct keys.
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
	for from := time.Duration(0); from+imbalanceWindow <= in.Length; from += imbalanceWindow {
		low, high := in.Start.Add(from).UnixNano(), in.Start.Add(from+imbalanceWindow).UnixNano()
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
		im.Load = append(im.Load, maxOverMean(load, len(s.Instances)))
		im.Keys = append(im.Keys, maxOverMean(distinct, len(s.Instances)))
	}
	return im
}

// maxOverMean returns the largest count divided by the mean over n targets, 0 if
// there are no counts.
func maxOverMean(counts map[string]int, n int) float64 {
	total, largest := 0, 0
	for _, c := range counts {
		total += c
		largest = max(largest, c)
	}
	if total == 0 {
		return 0
	}
	return float64(largest) * float64(n) / float64(total)
}

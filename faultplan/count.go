package faultplan

import "slices"

// Count is the number of faults of one kind.
type Count struct {
	Kind   Kind
	Losses Losses
	Number int
}

// Counts returns the number of faults by kind and losses, ordered by first
// occurrence. Actions that end a fault are not counted.
func Counts(plan []Action) []Count {
	var counts []Count
	for _, a := range plan {
		if !a.Kind.beginsFault() || a.Kind == Log && a.Detail == noLogFaults {
			continue
		}
		i := slices.IndexFunc(counts, func(c Count) bool { return c.Kind == a.Kind && c.Losses == a.Losses })
		if i < 0 {
			i = len(counts)
			counts = append(counts, Count{Kind: a.Kind, Losses: a.Losses})
		}
		counts[i].Number++
	}
	return counts
}

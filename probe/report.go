package probe

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// effectWindow is the time after a loss within which gaps that start are
// attributed to it.
const effectWindow = 5 * time.Second

// Effect is the unavailability that one loss caused.
type Effect struct {
	Loss         Loss
	RecoveryTime time.Duration // from the loss until all keys of the lost instance were answered again
	AffectedKeys int           // keys of the lost instance with a gap
	MaxOtherGap  time.Duration // longest gap of the keys of other instances
}

// Effects returns the effect of each loss, in the order of losses.
func Effects(losses []Loss, gaps []Gap) []Effect {
	effects := make([]Effect, len(losses))
	for i, l := range losses {
		effects[i] = effectOf(l, gaps)
	}
	return effects
}

func effectOf(l Loss, gaps []Gap) Effect {
	e := Effect{Loss: l}
	for _, g := range gaps {
		if g.End().Before(l.Time) || g.Start.After(l.Time.Add(effectWindow)) {
			continue
		}
		if g.Before != l.Instance {
			e.MaxOtherGap = max(e.MaxOtherGap, g.Length)
			continue
		}
		e.AffectedKeys++
		e.RecoveryTime = max(e.RecoveryTime, g.End().Sub(l.Time))
	}
	return e
}

// reportGroup identifies one line of the report.
type reportGroup struct {
	role, log string
}

// WriteReport writes a table with one line for each combination of role and state
// of the log.
func WriteReport(w io.Writer, effects []Effect) error {
	groups := map[reportGroup][]Effect{}
	var order []reportGroup
	for _, e := range effects {
		g := reportGroup{role: e.Loss.Role, log: e.Loss.Log}
		if groups[g] == nil {
			order = append(order, g)
		}
		groups[g] = append(groups[g], e)
	}
	if _, err := fmt.Fprintf(w, "%-8s %-5s %6s %10s %10s %10s %12s\n", "lost", "log", "losses", "min ms", "median ms", "max ms", "others ms"); err != nil {
		return err
	}
	for _, g := range order {
		if err := writeGroup(w, g, groups[g]); err != nil {
			return err
		}
	}
	return nil
}

func writeGroup(w io.Writer, g reportGroup, effects []Effect) error {
	times := make([]time.Duration, 0, len(effects))
	var others time.Duration
	for _, e := range effects {
		times = append(times, e.RecoveryTime)
		others = max(others, e.MaxOtherGap)
	}
	slices.Sort(times)
	_, err := fmt.Fprintf(w, "%-8s %-5s %6d %10d %10d %10d %12d\n", g.role, g.log, len(times),
		times[0].Milliseconds(), times[len(times)/2].Milliseconds(), times[len(times)-1].Milliseconds(), others.Milliseconds())
	return err
}

package probe

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// settleTime is the time after a loss within which gaps count as its effect.
const settleTime = 5 * time.Second

// Effect is what one loss did.
type Effect struct {
	Loss        Loss
	ServedAgain time.Duration // from the loss to the last first answer for a key of the lost instance
	LostKeys    int           // keys of the lost instance with a gap
	OtherPause  time.Duration // longest gap of a key of another instance
}

// Effects sets gaps against losses, in the order of losses.
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
		if g.End().Before(l.Time) || g.Start.After(l.Time.Add(settleTime)) {
			continue
		}
		if g.Before != l.Instance {
			e.OtherPause = max(e.OtherPause, g.Length)
			continue
		}
		e.LostKeys++
		e.ServedAgain = max(e.ServedAgain, g.End().Sub(l.Time))
	}
	return e
}

// group is a set of losses of one kind.
type group struct {
	role, log string
}

// WriteReport writes a table with one line for each role and state of the log.
func WriteReport(w io.Writer, effects []Effect) error {
	groups := map[group][]Effect{}
	var order []group
	for _, e := range effects {
		g := group{role: e.Loss.Role, log: e.Loss.Log}
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

func writeGroup(w io.Writer, g group, effects []Effect) error {
	times := make([]time.Duration, 0, len(effects))
	var others time.Duration
	for _, e := range effects {
		times = append(times, e.ServedAgain)
		others = max(others, e.OtherPause)
	}
	slices.Sort(times)
	_, err := fmt.Fprintf(w, "%-8s %-5s %6d %10d %10d %10d %12d\n", g.role, g.log, len(times),
		times[0].Milliseconds(), times[len(times)/2].Milliseconds(), times[len(times)-1].Milliseconds(), others.Milliseconds())
	return err
}

package main

import (
	"fmt"
	"io"
	"time"

	"github.com/parsleystack/parsleystack/cell/celltest"
)

// reporter prints the progress and the totals of a soak run.
type reporter struct {
	out        io.Writer
	totalSteps int64
	start      time.Time
	lastReport time.Time
}

func newReporter(out io.Writer, goal int64) *reporter {
	now := time.Now()
	return &reporter{out: out, totalSteps: goal, start: now, lastReport: now}
}

// progress prints a line at most once every reportInterval.
func (r *reporter) progress(st celltest.SoakStats) {
	if time.Since(r.lastReport) < reportInterval {
		return
	}
	r.lastReport = time.Now()
	fmt.Fprintf(r.out, "%d of %d steps, %d simulations, %.0f steps/s\n", st.Steps, r.totalSteps, st.Worlds, r.speed(st))
}

// print prints the totals of the whole run.
func (r *reporter) print(st celltest.SoakStats) {
	fmt.Fprintf(r.out, "steps %d, simulations %d, virtual time %ds, terms %d, recoveries %d, lost streams %d, acknowledged grants %d, %.0f steps/s\n",
		st.Steps, st.Worlds, st.VirtualSeconds, st.Terms, st.Recoveries, st.LostStreams, st.Acks, r.speed(st))
	for k, n := range st.Counts {
		fmt.Fprintf(r.out, "  %-16v %d\n", celltest.FaultKind(k), n)
	}
}

func (r *reporter) speed(st celltest.SoakStats) float64 {
	return float64(st.Steps) / time.Since(r.start).Seconds()
}

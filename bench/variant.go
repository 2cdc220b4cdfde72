package bench

import (
	"context"
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/measure"
)

// variant sends load to one set of addresses, over one or more rounds.
type variant struct {
	config    Config
	processes []measure.Process
	callers   []*caller
	total     *recorder
	lag       *lag
	rounds    int                      // completed rounds
	toolCPU   time.Duration            // CPU time of this process
	cpu       map[string]time.Duration // CPU time of the measured processes by label
}

func newVariant(config Config, processes []measure.Process) *variant {
	config = config.withDefaults()
	v := &variant{
		config:    config,
		processes: processes,
		total:     newRecorder(),
		lag:       newLag(),
		cpu:       map[string]time.Duration{},
	}
	for _, addr := range config.Addrs {
		v.callers = append(v.callers, newCaller(addr, config.Direct, config.MaxConns))
	}
	return v
}

// round runs all phases once.
func (v *variant) round(ctx context.Context) {
	config := v.config
	config.Seed += uint64(v.rounds)
	config.RunID += "-" + itoa(v.rounds)
	before, toolBefore := v.readCPU(), measure.CPUTime()
	generators := v.runGenerators(ctx, &config)
	v.addCPU(before)
	v.toolCPU += measure.CPUTime() - toolBefore
	for _, g := range generators {
		v.total.merge(g.recorder)
		v.lag.histogram.Merge(g.lag.histogram)
	}
	v.rounds++
}

func (v *variant) runGenerators(ctx context.Context, config *Config) []*generator {
	inFlight := make(chan struct{}, config.MaxInFlight)
	start := time.Now()
	var wait sync.WaitGroup
	var generators []*generator
	for i := range config.Generators {
		g := newGenerator(i, config, v.callers, inFlight)
		generators = append(generators, g)
		wait.Go(func() { g.run(ctx, start) })
	}
	wait.Wait()
	return generators
}

// readCPU returns the CPU times of the measured processes by label. Processes
// that have exited are left out.
func (v *variant) readCPU() map[string]time.Duration {
	now := map[string]time.Duration{}
	for _, p := range v.processes {
		if d, err := measure.ProcessCPU(p.PID); err == nil {
			now[p.Label] = d
		}
	}
	return now
}

func (v *variant) addCPU(before map[string]time.Duration) {
	for label, d := range v.readCPU() {
		if b, ok := before[label]; ok {
			v.cpu[label] += d - b
		}
	}
}

// result returns the report of all rounds so far.
func (v *variant) result() *Result {
	r := &Result{
		Name:               v.config.Name,
		Duration:           totalDuration(v.config.Phases) * time.Duration(v.rounds),
		Rounds:             v.rounds,
		Rows:               v.total.tableRows(v.config.Mix),
		Timeline:           v.total.timelineRows(v.config.Mix),
		UnmatchedResponses: v.total.unmatchedResponses,
		MalformedResponses: v.total.malformedResponses,
		Lag:                v.lag.histogram,
		Outcomes:           v.total.outcomes,
		ToolCPU:            v.toolCPU,
	}
	for _, p := range v.processes {
		r.CPU = append(r.CPU, ProcessCPU{Label: p.Label, CPU: v.cpu[p.Label], RSSBytes: measure.ProcessRSS(p.PID)})
	}
	return r
}

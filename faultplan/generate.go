package faultplan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Generate returns a random plan, ordered by time. Equal configurations give equal
// plans. Every fault ends before the recovery time at the end of the run.
func Generate(cfg Config) []Action {
	g := generator{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))}
	for i := range cfg.Deployments {
		d := &cfg.Deployments[i]
		for j := range d.Cells {
			g.addCellFaults(d, &d.Cells[j])
		}
		g.addLogFaults(d)
		g.addRaces(d)
	}
	slices.SortStableFunc(g.plan, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	return g.plan
}

type generator struct {
	cfg    Config
	random *rand.Rand
	plan   []Action
}

// latestEnd returns the latest time at which a fault may end.
func (g *generator) latestEnd() time.Duration { return g.cfg.Duration - g.cfg.Recovery }

func (g *generator) randomDuration(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(g.random.Int64N(int64(high-low)))
}

func (g *generator) randomLength() time.Duration {
	return g.randomDuration(g.cfg.MinLength, g.cfg.MaxLength)
}

func (g *generator) randomInterval() time.Duration {
	return g.randomDuration(g.cfg.MinInterval, 3*g.cfg.MinInterval)
}

// addCellFaults adds the faults of one cell, one after the other.
func (g *generator) addCellFaults(d *Deployment, c *Cell) {
	at := g.cfg.Warmup + g.randomDuration(0, g.cfg.MinInterval)
	for {
		losses, instances := g.pickInstances(c)
		end := at
		for _, instance := range instances {
			end = max(end, g.addInstanceFault(at, d.Name, losses, instance))
		}
		if end > g.latestEnd() {
			g.removeFault(d.Name, instances, at)
			return
		}
		at = end + g.randomInterval()
	}
}

// removeFault removes the actions of a fault that would end too late.
func (g *generator) removeFault(deployment string, instances []string, from time.Duration) {
	g.plan = slices.DeleteFunc(g.plan, func(a Action) bool {
		return a.Deployment == deployment && a.At >= from && slices.Contains(instances, a.Subject)
	})
}

// pickInstances returns the instances of the cell's next fault: two for a double
// loss, one otherwise. Cells of fewer than three instances have no double loss.
func (g *generator) pickInstances(c *Cell) (Losses, []string) {
	order := g.random.Perm(len(c.Instances))
	if len(order) > 2 && g.random.Float64() < g.cfg.DoubleLossShare {
		return DoubleLoss, []string{c.Instances[order[0]], c.Instances[order[1]]}
	}
	return SingleLoss, []string{c.Instances[order[0]]}
}

// addLogFaults adds the faults of the log service.
func (g *generator) addLogFaults(d *Deployment) {
	at := g.cfg.Warmup + g.randomInterval()
	for {
		end := at + g.randomLength()
		if end > g.latestEnd() {
			return
		}
		faults := logFaults[g.random.IntN(len(logFaults))]
		g.add(Action{At: at, Deployment: d.Name, Losses: SingleLoss, Kind: Log, Subject: "log", Detail: faults})
		g.add(Action{At: end, Deployment: d.Name, Losses: SingleLoss, Kind: Log, Subject: "log", Detail: noLogFaults})
		at = end + g.randomInterval()
	}
}

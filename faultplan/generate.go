package faultplan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Generate draws a plan, ordered by time. Equal configurations give equal
// plans. Every fault has ended when Recovery begins.
func Generate(cfg Config) []Action {
	g := generator{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))}
	for i := range cfg.Deployments {
		d := &cfg.Deployments[i]
		for j := range d.Cells {
			g.cell(d, &d.Cells[j])
		}
		g.log(d)
		g.races(d)
	}
	slices.SortStableFunc(g.plan, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	return g.plan
}

type generator struct {
	cfg    Config
	random *rand.Rand
	plan   []Action
}

// end returns the latest end of a fault.
func (g *generator) end() time.Duration { return g.cfg.Duration - g.cfg.Recovery }

func (g *generator) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(g.random.Int64N(int64(high-low)))
}

func (g *generator) length() time.Duration { return g.between(g.cfg.MinLength, g.cfg.MaxLength) }

func (g *generator) pause() time.Duration { return g.between(g.cfg.Settle, 3*g.cfg.Settle) }

// cell draws the faults of one cell, one after the other.
func (g *generator) cell(d *Deployment, c *Cell) {
	at := g.cfg.Warmup + g.between(0, g.cfg.Settle)
	for {
		losses, instances := g.subjects(c)
		end := at
		for _, instance := range instances {
			end = max(end, g.instanceFault(at, d.Name, losses, instance))
		}
		if end > g.end() {
			g.drop(d.Name, instances, at)
			return
		}
		at = end + g.pause()
	}
}

// drop takes back the actions of a fault that would end too late.
func (g *generator) drop(deployment string, instances []string, from time.Duration) {
	g.plan = slices.DeleteFunc(g.plan, func(a Action) bool {
		return a.Deployment == deployment && a.At >= from && slices.Contains(instances, a.Subject)
	})
}

func (g *generator) subjects(c *Cell) (Losses, []string) {
	order := g.random.Perm(len(c.Instances))
	if len(order) > 2 && g.random.Float64() < g.cfg.TwoShare {
		return Two, []string{c.Instances[order[0]], c.Instances[order[1]]}
	}
	return One, []string{c.Instances[order[0]]}
}

// log draws the faults of the log service.
func (g *generator) log(d *Deployment) {
	at := g.cfg.Warmup + g.pause()
	for {
		end := at + g.length()
		if end > g.end() {
			return
		}
		faults := logFaults[g.random.IntN(len(logFaults))]
		g.add(Action{At: at, Deployment: d.Name, Losses: One, Kind: Log, Subject: "log", Detail: faults})
		g.add(Action{At: end, Deployment: d.Name, Losses: One, Kind: Log, Subject: "log", Detail: noLogFaults})
		at = end + g.pause()
	}
}

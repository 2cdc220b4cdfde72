package faultplan

import "time"

// drainLength is the time from a drain to the start of the replacement.
const drainLength = 8 * time.Second

// pair is a kind of fault and the kind that ends it.
type pair struct{ begin, end Kind }

var instancePairs = []pair{
	{Kill, Start},
	{PauseDaemon, ResumeDaemon},
	{PauseTarget, ResumeTarget},
	{Drain, Start},
	{Cut, Heal},
}

var directions = []Direction{Both, Inbound, Outbound, Reset}

// instanceFault draws one fault of an instance and returns its end. Drains are
// for single losses only, so that nothing else disturbs them.
func (g *generator) instanceFault(at time.Duration, deployment string, losses Losses, instance string) time.Duration {
	p := g.pair(losses)
	length := g.length()
	detail := "-"
	switch p.begin {
	case Drain:
		length = drainLength
	case Cut:
		detail = string(directions[g.random.IntN(len(directions))])
	}
	base := Action{Deployment: deployment, Losses: losses, Subject: instance, Detail: detail}
	base.At, base.Kind = at, p.begin
	g.add(base)
	base.At, base.Kind = at+length, p.end
	g.add(base)
	return at + length
}

func (g *generator) pair(losses Losses) pair {
	for {
		p := instancePairs[g.random.IntN(len(instancePairs))]
		if p.begin == Cut && !g.cfg.Links || p.begin == Drain && losses != One {
			continue
		}
		return p
	}
}

func (g *generator) add(a Action) { g.plan = append(g.plan, a) }

package faultplan

import "time"

// drainDuration is the time from a drain to the start of the replacement.
const drainDuration = 8 * time.Second

// faultKinds are the kinds of the actions that begin and end a fault.
type faultKinds struct{ begin, end Kind }

var instanceFaults = []faultKinds{
	{Kill, Start},
	{PauseDaemon, ResumeDaemon},
	{PauseTarget, ResumeTarget},
	{Drain, Start},
	{Cut, Heal},
}

var directions = []Direction{Both, Inbound, Outbound, Reset}

// addInstanceFault adds one fault of an instance and returns its end. Drains are
// planned for single losses only, so that no other fault of the cell interrupts
// them.
func (g *generator) addInstanceFault(at time.Duration, deployment string, losses Losses, instance string) time.Duration {
	p := g.pickFault(losses)
	length := g.randomLength()
	detail := "-"
	switch p.begin {
	case Drain:
		length = drainDuration
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

func (g *generator) pickFault(losses Losses) faultKinds {
	for {
		p := instanceFaults[g.random.IntN(len(instanceFaults))]
		if p.begin == Cut && !g.cfg.CutLinks || p.begin == Drain && losses != SingleLoss {
			continue
		}
		return p
	}
}

func (g *generator) add(a Action) { g.plan = append(g.plan, a) }

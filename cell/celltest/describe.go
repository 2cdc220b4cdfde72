package celltest

import (
	"fmt"
	"strings"
	"time"
)

// describe returns the state of all processes and of the log as text.
func (w *World) describe() string {
	var b strings.Builder
	for i := range w.procs {
		w.describeProcess(&b, &w.procs[i])
	}
	fmt.Fprintf(&b, "\n  log: next %d, earliest %d, down %v", w.log.next, w.log.earliest(), w.links.logDown)
	return b.String()
}

func (w *World) describeProcess(b *strings.Builder, p *process) {
	if !p.alive {
		fmt.Fprintf(b, "\n  %v: not running", instance(p.slot))
		return
	}
	v := p.machine.View(p.now(w.now))
	fmt.Fprintf(b, "\n  %v: term %d, leader %v, deputy %v, members %d, assignments %d, provisional %d, next %d, tail %v ago, leaving %v, frozen %v",
		p.node, v.Term, v.Leader, v.Deputy, len(v.Members), len(v.Assignments), v.Provisional, v.NextOffset, p.now(w.now).Sub(v.LastTail), v.Leaving, p.frozen(w.now))
	if p.lastErr != nil {
		fmt.Fprintf(b, ", last error %q", p.lastErr)
	}
	if v.Leader == p.node {
		for _, g := range v.Assignments {
			fmt.Fprintf(b, "\n    assigns %v", g)
		}
	}
	for k := range p.holdings {
		h := &p.holdings[k]
		fmt.Fprintf(b, "\n    holds %v %v for %v releasing %v", h.Grant.Range, h.Grant.Token, time.Duration(h.end-w.now), h.Releasing)
	}
}

package celltest

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
)

// prefixFact is what the readers of one prefix of the log have concluded.
type prefixFact struct {
	known  bool
	term   uint64
	leader ident.Node
	deputy ident.Node
	by     ident.Node
}

// checker asserts the invariants of a world and keeps what they need.
type checker struct {
	w         *World
	used      segments // grants that were in force in a request path
	acked     segments // grants that were acknowledged
	facts     []prefixFact
	maxTerm   uint64
	recovered uint64   // term of the newest recovery
	served    bool     // every point has had an owner at the same time once
	streak    int      // samples in a row that found every point served
	gapSince  trueTime // end of the latest time in which every point was served
	violation *Violation
}

func newChecker(w *World) checker {
	return checker{w: w, used: newSegments(), acked: newSegments()}
}

// fail records the first violation.
func (c *checker) fail(inv Invariant, format string, args ...any) {
	if c.violation != nil {
		return
	}
	c.violation = &Violation{Invariant: inv, At: time.Duration(c.w.now), Step: c.w.result.Steps, Detail: fmt.Sprintf(format, args...)}
}

// strict reports whether the schedule has at most one loss at a time.
func (c *checker) strict() bool { return c.w.schedule.Profile == Single }

// observe compares what p has concluded from the log with all other readers.
func (c *checker) observe(p *process) {
	v := p.machine.View(p.now(c.w.now))
	p.term, p.leader, p.deputy, p.knowsRoles = v.Term, v.Leader, v.Deputy, v.Term > 0
	if v.Term > c.maxTerm {
		c.maxTerm = v.Term
		c.w.result.Terms++
	}
	if v.Term < uint64(v.NextOffset) {
		c.comparePrefix(p, &v)
	}
	if v.Leader == p.node && v.Term >= c.maxTerm {
		c.remembers(p, v.Assignments)
	}
}

func (c *checker) comparePrefix(p *process, v *cell.View) {
	for len(c.facts) <= int(v.NextOffset) {
		c.facts = append(c.facts, prefixFact{})
	}
	f := &c.facts[v.NextOffset]
	if !f.known {
		*f = prefixFact{known: true, term: v.Term, leader: v.Leader, deputy: v.Deputy, by: p.node}
		return
	}
	if f.term != v.Term || f.leader != v.Leader || f.deputy != v.Deputy {
		c.fail(SamePrefix, "before offset %d %v reads term %d, leader %v, deputy %v, but %v reads term %d, leader %v, deputy %v",
			v.NextOffset, f.by, f.term, f.leader, f.deputy, p.node, v.Term, v.Leader, v.Deputy)
	}
}

// audit takes note of recoveries, after which grants that stood only on the
// lost pair may be forgotten.
func (c *checker) audit(p *process, entries []cell.AuditEntry) {
	for i := range entries {
		if entries[i].Kind != cell.AuditRecovered {
			continue
		}
		v := p.machine.View(p.now(c.w.now))
		if v.Term > c.recovered {
			c.recovered = v.Term
			c.acked = newSegments()
		}
	}
}

// acknowledged takes note of grants that must not be forgotten.
func (c *checker) acknowledged(p *process, grants []cell.Grant) {
	for i := range grants {
		g := &grants[i]
		if g.Token.Term < c.recovered {
			continue
		}
		c.w.result.Acks++
		c.acked.raise(g)
		c.maxTerm = max(c.maxTerm, g.Token.Term)
	}
}

// remembers checks that the leader of the newest term knows every acknowledged
// grant or a newer one.
func (c *checker) remembers(p *process, assignments []cell.Grant) {
	for i := range c.acked.list {
		seg := &c.acked.list[i]
		if seg.owner.IsZero() {
			continue
		}
		c.remembersOne(p, assignments, seg, i)
	}
}

func (c *checker) remembersOne(p *process, assignments []cell.Grant, seg *segment, i int) {
	next := seg.first
	last := c.acked.last(i)
	for k := range assignments {
		g := &assignments[k]
		if g.Range.Last < next || g.Range.First > last {
			continue
		}
		if g.Range.First > next || g.Token.Less(seg.token) {
			break
		}
		if g.Range.Last >= last {
			return
		}
		next = g.Range.Last + 1
	}
	c.fail(AcknowledgedStays, "leader %v of the newest term has forgotten the grant %v of %v at point %x", p.node, seg.token, seg.owner, uint64(next))
}

package celltest

import (
	"slices"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

// acknowledged takes note of grants that must not be forgotten.
func (c *checker) acknowledged(p *process, grants []cell.Grant) {
	if len(grants) == 0 {
		return
	}
	v := p.machine.View(p.now(c.w.now))
	for i := range grants {
		g := &grants[i]
		if g.Token.Term < c.recovered {
			continue
		}
		c.w.result.Acks++
		c.acked.raise(g, segment{leader: p.node, deputy: v.Deputy})
	}
	c.noteLogged()
}

// noteLogged marks the acknowledged grants that the log holds. Those stay
// whatever is lost.
func (c *checker) noteLogged() {
	assignments := c.fold.Assignments()
	for i := range c.acked.list {
		seg := &c.acked.list[i]
		if !seg.logged && !seg.owner.IsZero() {
			_, missing := c.missing(assignments, i)
			seg.logged = !missing
		}
	}
}

// forgetUnlogged drops the grants that stood on a lost pair alone.
func (c *checker) forgetUnlogged() {
	for i := range c.acked.list {
		if seg := &c.acked.list[i]; !seg.logged {
			seg.token, seg.owner = cell.Token{}, ident.Node{}
		}
	}
}

// remembers checks that the leader of the newest term knows every acknowledged
// grant or a newer one. A grant that only its leader and its deputy knew may be
// forgotten once both are gone.
func (c *checker) remembers(p *process, assignments []cell.Grant) {
	for i := range c.acked.list {
		seg := &c.acked.list[i]
		if seg.owner.IsZero() {
			continue
		}
		point, missing := c.missing(assignments, i)
		if !missing {
			continue
		}
		if !seg.logged && c.w.ended(seg.leader) && c.w.ended(seg.deputy) {
			seg.token, seg.owner = cell.Token{}, ident.Node{}
			continue
		}
		c.fail(AcknowledgedStays, "leader %v of the newest term has forgotten the grant %v of %v at point %x, which stood on %v and %v, logged %v",
			p.node, seg.token, seg.owner, uint64(point), seg.leader, seg.deputy, seg.logged)
	}
}

// missing returns a point of acknowledged segment i over which the assignments
// have neither its grant nor a newer one.
func (c *checker) missing(assignments []cell.Grant, i int) (keyspace.Point, bool) {
	seg := &c.acked.list[i]
	next, last := seg.first, c.acked.last(i)
	for k := range assignments {
		g := &assignments[k]
		if g.Range.Last < next {
			continue
		}
		if g.Range.First > next || g.Token.Less(seg.token) {
			return next, true
		}
		if g.Range.Last >= last {
			return 0, false
		}
		next = g.Range.Last + 1
	}
	return next, true
}

// ended reports whether a process has ended.
func (w *World) ended(n ident.Node) bool { return slices.Contains(w.dead, n) }

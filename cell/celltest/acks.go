package celltest

import (
	"slices"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

// recordAcknowledged records grants that the leader of the newest term must keep
// from now on.
func (c *checker) recordAcknowledged(p *process, grants []cell.Grant) {
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
		c.acked.record(g, segment{leader: p.node, deputy: v.Deputy})
	}
	c.markLogged()
}

// markLogged marks the acknowledged grants that the log contains. They must be
// kept whichever processes fail.
func (c *checker) markLogged() {
	assignments := c.reference.Assignments()
	for i := range c.acked.list {
		seg := &c.acked.list[i]
		if !seg.logged && !seg.owner.IsZero() {
			_, missing := c.findMissing(assignments, i)
			seg.logged = !missing
		}
	}
}

// dropUnlogged drops the acknowledged grants that only a failed leader and
// deputy had.
func (c *checker) dropUnlogged() {
	for i := range c.acked.list {
		if seg := &c.acked.list[i]; !seg.logged {
			seg.token, seg.owner = cell.Token{}, ident.Node{}
		}
	}
}

// checkAcknowledged checks that the leader of the newest term has every
// acknowledged grant or a newer one. A grant that only its leader and deputy
// had may be lost once both processes have exited.
func (c *checker) checkAcknowledged(p *process, assignments []cell.Grant) {
	for i := range c.acked.list {
		seg := &c.acked.list[i]
		if seg.owner.IsZero() {
			continue
		}
		point, missing := c.findMissing(assignments, i)
		if !missing {
			continue
		}
		if !seg.logged && c.w.hasExited(seg.leader) && c.w.hasExited(seg.deputy) {
			seg.token, seg.owner = cell.Token{}, ident.Node{}
			continue
		}
		c.fail(AcknowledgedStays, "leader %v of the newest term does not have the grant %v of %v at point %x, which was acknowledged by leader %v with deputy %v, logged %v",
			p.node, seg.token, seg.owner, uint64(point), seg.leader, seg.deputy, seg.logged)
	}
}

// findMissing returns a point of acknowledged segment i for which the
// assignments have neither its grant nor a newer one.
func (c *checker) findMissing(assignments []cell.Grant, i int) (keyspace.Point, bool) {
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

// hasExited reports whether a process has exited.
func (w *World) hasExited(n ident.Node) bool { return slices.Contains(w.exited, n) }

package cell

import (
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/keyspace"
)

const (
	// moveWindow is the period in which moves are counted against MaxMovesPerMinute.
	moveWindow = time.Minute
	// moveCooldown is the time after a move during which a range is not moved again.
	moveCooldown = time.Minute
	// minTotalRate is the load of the cell, in requests per second, below which
	// ranges are balanced by number instead of load.
	minTotalRate = 1
)

// balance is the leader's record of loads and recent moves.
type balance struct {
	decidedAt   clock.Time
	rebalancing bool
	loads       []RangeLoad // newest load of each range
	recentMoves []movedRange
}

// movedRange is a range that has been moved recently.
type movedRange struct {
	r  keyspace.Range
	at clock.Time
}

// recordLoads stores the loads that a member reports.
func (b *balance) recordLoads(loads []RangeLoad) {
	for _, l := range loads {
		if i := b.index(l.Range); i >= 0 {
			b.loads[i] = l
			continue
		}
		b.loads = append(b.loads, l)
	}
}

func (b *balance) index(r keyspace.Range) int {
	return slices.IndexFunc(b.loads, func(l RangeLoad) bool { return l.Range == r })
}

// load returns the newest load of the range.
func (b *balance) load(r keyspace.Range) RangeLoad {
	if i := b.index(r); i >= 0 {
		return b.loads[i]
	}
	return RangeLoad{Range: r}
}

// forget drops the loads of ranges that no longer exist, and moves that are
// older than moveCooldown.
func (b *balance) forget(t *table, now clock.Time) {
	b.loads = slices.DeleteFunc(b.loads, func(l RangeLoad) bool { return t.entry(l.Range) == nil })
	b.recentMoves = slices.DeleteFunc(b.recentMoves, func(m movedRange) bool { return now.Sub(m.at) >= moveCooldown })
}

func (b *balance) recentlyMoved(r keyspace.Range) bool {
	return slices.ContainsFunc(b.recentMoves, func(m movedRange) bool { return m.r == r })
}

func (b *balance) total() float64 {
	total := 0.0
	for _, l := range b.loads {
		total += l.Rate
	}
	return total
}

// balancesLoad reports whether ranges are balanced by load instead of number.
func (n *Node) balancesLoad() bool {
	return n.cfg.Balance.Interval > 0 && n.leader.balance.total() >= minTotalRate
}

// runBalance plans splits, merges and moves at each balancing interval.
func (n *Node) runBalance() {
	l := n.leader
	b := &l.balance
	b.recordLoads(n.follower.load)
	n.follower.load = nil
	if !n.balancesLoad() || n.now.Sub(b.decidedAt) < n.cfg.Balance.Interval {
		return
	}
	if len(l.moves) > 0 || l.table.committed < l.table.seq || len(n.appends.deputyChanges) > 0 {
		return
	}
	b.decidedAt = n.now
	b.forget(&l.table, n.now)
	plan := PlanBalance(n.cfg.Balance, n.balanceInput())
	b.rebalancing = plan.Rebalancing
	n.applySplitsAndMerges(plan)
	for _, m := range plan.Moves {
		if e := l.table.entry(m.Range); e != nil && e.seq <= l.table.committed {
			b.recentMoves = append(b.recentMoves, movedRange{r: m.Range, at: n.now})
			n.startMove(e.grant, m.To)
		}
	}
}

// balanceInput describes the cell to PlanBalance.
func (n *Node) balanceInput() BalanceInput {
	l := n.leader
	in := BalanceInput{MinRanges: n.cfg.InitialRanges, Rebalancing: l.balance.rebalancing, Moves: n.moveBudget()}
	for _, c := range n.candidates() {
		in.Owners = append(in.Owners, BalanceOwner{Node: c.node, Capacity: l.peer(c.node).member.Capacity})
	}
	for _, e := range l.table.entries {
		in.Ranges = append(in.Ranges, BalanceRange{
			Owner:         e.grant.Owner,
			Load:          l.balance.load(e.grant.Range),
			Fixed:         n.fixed(e),
			RecentlyMoved: l.balance.recentlyMoved(e.grant.Range),
		})
	}
	return in
}

// fixed reports whether the range must not be moved, split or merged for now.
func (n *Node) fixed(e entry) bool {
	l := n.leader
	if e.grant.Owner.IsZero() || l.moving(e.grant) || n.awaitsOldLease(e) {
		return true
	}
	if e.grant.Owner == n.self() {
		return !slices.Contains(n.follower.grants, e.grant)
	}
	return n.ownerUnstable(e) || l.peer(e.grant.Owner).heldVersion < l.peer(e.grant.Owner).version
}

// moveBudget returns the number of moves that may start now.
func (n *Node) moveBudget() int {
	if !n.mayMove() {
		return 0
	}
	budget := maxMoves - len(n.leader.moves)
	if limit := n.cfg.Balance.MaxMovesPerMinute; limit > 0 {
		budget = min(budget, limit-len(n.leader.moveTimes)-len(n.leader.moves))
	}
	return budget
}

// applySplitsAndMerges applies the splits and merges of the plan as one change. The
// owners stay the same, and hold their old grants until the change is committed.
func (n *Node) applySplitsAndMerges(plan BalancePlan) {
	l := n.leader
	var entries []entry
	var loads []RangeLoad
	for _, s := range plan.Splits {
		old := l.table.entry(s.Range).grant
		for _, part := range s.Parts {
			g := Grant{Range: part.Range, Owner: old.Owner}
			entries = append(entries, entry{grant: g, replaced: []Grant{old}})
			loads = append(loads, part)
		}
	}
	for _, r := range plan.Merges {
		e, load := n.mergedEntry(r)
		entries = append(entries, e)
		loads = append(loads, load)
	}
	if len(entries) == 0 {
		return
	}
	l.table.change(entries, n.faultEnabled(FaultTokenReuse))
	l.bumpRevision()
	l.balance.recordLoads(loads)
	l.balance.forget(&l.table, n.now)
	n.updateCommitted()
}

// mergedEntry returns the entry and the load of the ranges merged into r.
func (n *Node) mergedEntry(r keyspace.Range) (entry, RangeLoad) {
	l := n.leader
	e := entry{grant: Grant{Range: r}}
	load := RangeLoad{Range: r}
	for _, old := range l.table.entries {
		if !old.grant.Range.Overlaps(r) {
			continue
		}
		e.grant.Owner = old.grant.Owner
		e.replaced = append(e.replaced, old.grant)
		load.Rate += l.balance.load(old.grant.Range).Rate
	}
	return e, load
}

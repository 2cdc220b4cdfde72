package cell

import (
	"slices"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/platformlog"
)

// NextOffset returns the next offset of the stream to read. It equals
// View.NextOffset without the cost of a copy.
func (n *Node) NextOffset() platformlog.Offset { return n.reader.next }

// View returns a copy of the node's state at the local time now.
func (n *Node) View(now clock.Time) View {
	v := View{
		Self:        n.self(),
		Term:        n.ledger.Term(),
		Leader:      n.ledger.Leader(),
		Deputy:      n.ledger.Deputy(),
		Members:     n.ledger.Members(),
		Assignments: n.assignments(),
		Holdings:    n.holdings(now),
		NextOffset:  n.reader.next,
		LastTail:    n.reader.lastTail,
		Leaving:     n.leaving,
	}
	if n.leader != nil {
		v.Activating = !n.leader.activation.active
		v.Provisional = len(changedGrants(n.ledger.state.Grants, v.Assignments))
	}
	return v
}

// assignments returns the newest assignments that the node has.
func (n *Node) assignments() []Grant {
	if n.leader != nil {
		return n.leader.grants()
	}
	return slices.Clone(n.deputyState().Grants)
}

// holdings returns the local grants that have not expired at now.
func (n *Node) holdings(now clock.Time) []Holding {
	f := &n.follower
	if n.left || f.expires <= now {
		return nil
	}
	var holdings []Holding
	for _, g := range f.grants {
		holdings = append(holdings, Holding{Grant: g, Expires: f.expires, Releasing: f.isReleasing(g)})
	}
	slices.SortFunc(holdings, func(a, b Holding) int { return compareGrants(a.Grant, b.Grant) })
	return holdings
}

// emitHoldings reports the local grants if they have changed.
func (n *Node) emitHoldings() {
	holdings := n.holdings(n.now)
	if len(holdings) > 0 {
		n.wake(n.follower.expires)
	}
	if slices.Equal(holdings, n.lastHoldings) {
		return
	}
	n.recordUnreleased(n.lastHoldings, holdings)
	n.lastHoldings = holdings
	n.out.Holdings = slices.Clone(holdings)
	n.out.HoldingsChanged = true
}

package cell

import (
	"slices"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/platformlog"
)

// NextOffset returns the next offset of the stream to read. It is that of the
// View, without the copy.
func (n *Node) NextOffset() platformlog.Offset { return n.reader.next }

// View returns a copy of the node's knowledge at the local time now.
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
		v.Activating = !n.leader.gate.open
		v.Provisional = len(changedGrants(n.ledger.state.Grants, v.Assignments))
	}
	return v
}

// assignments returns the newest assignments that the node knows.
func (n *Node) assignments() []Grant {
	if n.leader != nil {
		return n.leader.grants()
	}
	return slices.Clone(n.deputyState().Grants)
}

// holdings returns the local grants that are unexpired at now.
func (n *Node) holdings(now clock.Time) []Holding {
	f := &n.follower
	if n.left || f.expires <= now {
		return nil
	}
	var holdings []Holding
	for _, g := range f.grants {
		holdings = append(holdings, Holding{Grant: g, Expires: f.expires, Releasing: f.releases(g)})
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
	if slices.Equal(holdings, n.emitted) {
		return
	}
	n.noteLost(n.emitted, holdings)
	n.emitted = holdings
	n.out.Holdings = slices.Clone(holdings)
	n.out.HoldingsChanged = true
}

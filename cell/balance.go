package cell

import (
	"slices"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

const (
	// balanceStart and balanceStop are the ratios of the highest to the mean
	// load at which balancing begins and ends.
	balanceStart = 1.15
	balanceStop  = 1.07

	// churnCost is the improvement that a move must bring at WeightChurn 1.
	churnCost = 0.01
	// unavailableCost is the improvement that a move must bring at
	// WeightUnavailable 1 for each share of the cell's load that it interrupts.
	unavailableCost = 0.1
)

// BalanceInput is the state that PlanBalance decides on.
type BalanceInput struct {
	// Owners lists the members that take ranges, in a fixed order.
	Owners []BalanceOwner
	// Ranges lists all ranges by Range.First.
	Ranges []BalanceRange
	// Moves is the number of moves that may be planned.
	Moves int
	// MinRanges is the number of ranges below which none are merged.
	MinRanges int
	// Rebalancing is set while an earlier imbalance has not been worked off.
	Rebalancing bool
}

// BalanceOwner is a member that takes ranges.
type BalanceOwner struct {
	Node     ident.Node
	Capacity int // relative to the other owners; 0 counts as 1
}

// BalanceRange is a range, its owner and its load.
type BalanceRange struct {
	Owner ident.Node
	Load  RangeLoad
	// Fixed is set on ranges that must neither move nor change their bounds.
	Fixed bool
	// RecentlyMoved is set on ranges that have moved lately.
	RecentlyMoved bool
}

// BalancePlan is what PlanBalance proposes. Splits and merges keep the owner;
// they apply before the moves.
type BalancePlan struct {
	Splits []BalanceSplit
	Merges []keyspace.Range // each covers two or more ranges of one owner
	Moves  []BalanceMove
	// Rebalancing is to be handed to the next call.
	Rebalancing bool
}

// BalanceSplit cuts a range into parts.
type BalanceSplit struct {
	Range keyspace.Range
	Parts []RangeLoad // with the load that each is expected to have
}

// BalanceMove gives a range to another owner.
type BalanceMove struct {
	Range keyspace.Range
	To    ident.Node
}

// PlanBalance chooses splits around hot points, merges of cold neighbours, and
// moves whose gain in balance is worth their cost in churn and unavailable
// time. It is a pure function.
func PlanBalance(cfg BalanceConfig, in BalanceInput) BalancePlan {
	b := newBalancer(cfg, in)
	if b.total <= 0 || len(b.owners) < 2 {
		return BalancePlan{}
	}
	plan := BalancePlan{Splits: b.split()}
	if len(plan.Splits) == 0 {
		plan.Merges = b.merge()
	}
	threshold := balanceStart
	if in.Rebalancing {
		threshold = balanceStop
	}
	plan.Rebalancing = b.imbalance() > threshold
	if plan.Rebalancing {
		plan.Moves = b.moves(in.Moves)
	}
	return plan
}

// balancer is the model that a plan is worked out on.
type balancer struct {
	cfg    BalanceConfig
	in     BalanceInput
	owners []ownerLoad
	ranges []BalanceRange
	total  float64
	mean   float64 // load per unit of capacity
}

// ownerLoad is the load of one owner per unit of its capacity.
type ownerLoad struct {
	node     ident.Node
	capacity float64
	load     float64
}

func newBalancer(cfg BalanceConfig, in BalanceInput) *balancer {
	b := &balancer{cfg: cfg, in: in, ranges: slices.Clone(in.Ranges)}
	capacity := 0.0
	for _, o := range in.Owners {
		c := float64(max(o.Capacity, 1))
		capacity += c
		b.owners = append(b.owners, ownerLoad{node: o.Node, capacity: c})
	}
	for _, r := range b.ranges {
		if o := b.owner(r.Owner); o != nil {
			o.load += r.Load.Rate
			b.total += r.Load.Rate
		}
	}
	if capacity > 0 {
		b.mean = b.total / capacity
	}
	return b
}

func (b *balancer) owner(node ident.Node) *ownerLoad {
	for i := range b.owners {
		if b.owners[i].node == node {
			return &b.owners[i]
		}
	}
	return nil
}

// relative returns the owner's load relative to the mean.
func (b *balancer) relative(o *ownerLoad) float64 { return o.load / o.capacity / b.mean }

// imbalance returns the highest relative load.
func (b *balancer) imbalance() float64 {
	highest := 0.0
	for i := range b.owners {
		highest = max(highest, b.relative(&b.owners[i]))
	}
	return highest
}

package cell

import (
	"slices"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

const (
	// balanceStart and balanceStop are the ratios of the highest to the mean
	// load at which balancing starts and stops.
	balanceStart = 1.15
	balanceStop  = 1.07

	// churnCost is the minimum improvement by a move at WeightChurn 1.
	churnCost = 0.01
	// unavailableCost is the minimum improvement by a move at WeightUnavailable 1
	// per share of the cell's load that it interrupts.
	unavailableCost = 0.1
)

// BalanceInput is the input of PlanBalance.
type BalanceInput struct {
	// Owners lists the members that accept ranges, in a fixed order.
	Owners []BalanceOwner
	// Ranges lists all ranges, sorted by Range.First.
	Ranges []BalanceRange
	// Moves is the maximum number of moves to plan.
	Moves int
	// MinRanges is the number of ranges below which none are merged.
	MinRanges int
	// Rebalancing is set until an earlier imbalance has been reduced to balanceStop.
	Rebalancing bool
}

// BalanceOwner is a member that accepts ranges.
type BalanceOwner struct {
	Node     ident.Node
	Capacity int // relative to the other owners; 0 counts as 1
}

// BalanceRange is a range, its owner and its load.
type BalanceRange struct {
	Owner ident.Node
	Load  RangeLoad
	// Fixed is set on ranges that must not be moved, split or merged.
	Fixed bool
	// RecentlyMoved is set on ranges that have been moved recently.
	RecentlyMoved bool
}

// BalancePlan is the result of PlanBalance. Splits and merges keep the owner;
// they must be applied before the moves.
type BalancePlan struct {
	Splits []BalanceSplit
	Merges []keyspace.Range // each covers two or more ranges of one owner
	Moves  []BalanceMove
	// Rebalancing must be passed to the next call, in BalanceInput.
	Rebalancing bool
}

// BalanceSplit splits a range into parts.
type BalanceSplit struct {
	Range keyspace.Range
	Parts []RangeLoad // each with its expected load
}

// BalanceMove moves a range to another owner.
type BalanceMove struct {
	Range keyspace.Range
	To    ident.Node
}

// PlanBalance plans splits around hot points, merges of cold neighbours, and
// moves whose gain in balance exceeds their cost in churn and unavailability.
// It is a pure function.
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

// balancer is the working state of PlanBalance.
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

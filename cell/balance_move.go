package cell

// moves selects up to limit moves, best first, until the load is balanced or
// no move has a positive score.
func (b *balancer) moves(limit int) []BalanceMove {
	var moves []BalanceMove
	for len(moves) < limit && b.imbalance() > balanceStop {
		index, to := b.bestMove()
		if to == nil {
			break
		}
		r := &b.ranges[index]
		moves = append(moves, BalanceMove{Range: r.Load.Range, To: to.node})
		b.owner(r.Owner).load -= r.Load.Rate
		to.load += r.Load.Rate
		r.Owner = to.node
		r.RecentlyMoved = true
	}
	return moves
}

// bestMove returns the move with the highest score above zero, or a nil owner.
func (b *balancer) bestMove() (int, *ownerLoad) {
	index, best := 0, 0.0
	var to *ownerLoad
	for i := range b.ranges {
		r := &b.ranges[i]
		from := b.owner(r.Owner)
		if r.Fixed || r.RecentlyMoved || from == nil || b.relative(from) <= 1 {
			continue
		}
		for k := range b.owners {
			o := &b.owners[k]
			if o == from {
				continue
			}
			if score := b.score(r, from, o); score > best {
				index, best, to = i, score, o
			}
		}
	}
	return index, to
}

// score returns the gain of a move minus its cost. The gain is the decrease in
// the sum of the squared deviations of the relative loads.
func (b *balancer) score(r *BalanceRange, from, to *ownerLoad) float64 {
	unit := r.Load.Rate / b.mean
	before := square(b.relative(from)-1) + square(b.relative(to)-1)
	after := square(b.relative(from)-unit/from.capacity-1) + square(b.relative(to)+unit/to.capacity-1)
	cost := b.cfg.WeightChurn*churnCost + b.cfg.WeightUnavailable*unavailableCost*r.Load.Rate/b.total
	return b.cfg.WeightImbalance*(before-after) - cost
}

func square(x float64) float64 { return x * x }

package fleet

import (
	"math"
	"slices"

	"github.com/parsleystack/parsleystack/ident"
)

// directFleet is the size up to which all daemons follow the store themselves.
// Above it the calls to the store would grow with the square of the size: each
// daemon's changes would be read by all.
const directFleet = 16

// readersShare is the number of readers as a share of the root of the fleet's
// size. Fewer readers call the store less, and each tells more others: at 300
// daemons 33, which takes 80 KB for a large table.
const readersShare = 0.5

// Spread is how news of the store gets to all daemons of a fleet: some read it
// and each tells some others. Daemons whose reader is lost see that others are
// ahead, and read for themselves.
type Spread struct {
	// Reads is set if this daemon follows the store.
	Reads bool
	// Tells lists the daemons that it tells.
	Tells []ident.Instance
}

// NewSpread returns the part of self; others are all daemons that are heard, in
// any order.
func NewSpread(self ident.Instance, others []ident.Instance) Spread {
	n := len(others) + 1
	if n <= directFleet {
		return Spread{Reads: true}
	}
	all := append(slices.Clone(others), self)
	slices.Sort(all)
	readers := int(math.Ceil(math.Sqrt(float64(n)) * readersShare))
	rank := slices.Index(all, self)
	if rank >= readers {
		return Spread{}
	}
	s := Spread{Reads: true}
	for i := readers + rank; i < n; i += readers {
		s.Tells = append(s.Tells, all[i])
	}
	return s
}

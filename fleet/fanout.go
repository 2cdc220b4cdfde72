package fleet

import (
	"math"
	"slices"

	"github.com/parsleystack/parsleystack/ident"
)

// maxDirectFleet is the number of daemons up to which all of them read the
// directory from the store. In a larger fleet the number of calls to the store
// would grow with the square of the size, as each daemon's changes would be read
// by all others.
const maxDirectFleet = 16

// readersFactor is the number of readers relative to the square root of the
// fleet size. With fewer readers the store gets fewer calls, but each reader
// forwards to more peers: to 33 in a fleet of 300, which takes 80 KB for a large
// assignment table.
const readersFactor = 0.5

// Fanout is one daemon's part in the fan-out of directory updates: some daemons
// read them from the store, and each of these forwards them to some others. A
// daemon whose reader has failed detects from statuses that other daemons have read
// further, and reads from the store itself.
type Fanout struct {
	// ReadsStore is set if this daemon reads updates from the store.
	ReadsStore bool
	// ForwardTo lists the peers that this daemon forwards updates to.
	ForwardTo []ident.Instance
}

// NewFanout returns the part of the daemon self. others lists all other daemons
// that are not suspected, in any order.
func NewFanout(self ident.Instance, others []ident.Instance) Fanout {
	n := len(others) + 1
	if n <= maxDirectFleet {
		return Fanout{ReadsStore: true}
	}
	all := append(slices.Clone(others), self)
	slices.Sort(all)
	readers := int(math.Ceil(math.Sqrt(float64(n)) * readersFactor))
	rank := slices.Index(all, self)
	if rank >= readers {
		return Fanout{}
	}
	s := Fanout{ReadsStore: true}
	for i := readers + rank; i < n; i += readers {
		s.ForwardTo = append(s.ForwardTo, all[i])
	}
	return s
}

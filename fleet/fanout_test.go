package fleet

import (
	"fmt"
	"slices"
	"testing"

	"github.com/parsleystack/parsleystack/ident"
)

func instances(n int) []ident.Instance {
	names := make([]ident.Instance, n)
	for i := range names {
		names[i] = ident.Instance(fmt.Sprintf("i%05d", i))
	}
	return names
}

// Each daemon must either read updates from the store or receive them from
// exactly one reader. Neither the number of readers nor the number of peers that
// a reader forwards to may grow faster than the square root of the fleet size.
func TestUpdatesReachEveryDaemon(t *testing.T) {
	for _, n := range []int{1, 2, 16, 17, 66, 91, 300, 2000} {
		names := instances(n)
		reached := make(map[ident.Instance]int)
		readers := 0
		for i, self := range names {
			s := NewFanout(self, slices.Concat(names[:i], names[i+1:]))
			if s.ReadsStore {
				readers++
				reached[self]++
			}
			for _, other := range s.ForwardTo {
				reached[other]++
			}
			if len(s.ForwardTo)*len(s.ForwardTo) > 4*n {
				t.Errorf("in a fleet of %d, one daemon forwards to %d", n, len(s.ForwardTo))
			}
		}
		for _, name := range names {
			if reached[name] != 1 {
				t.Errorf("%s in a fleet of %d receives each update %d times, want once", name, n, reached[name])
			}
		}
		if n > maxDirectFleet && 4*(readers-1)*(readers-1) >= n {
			t.Errorf("%d of %d daemons read from the store", readers, n)
		}
	}
}

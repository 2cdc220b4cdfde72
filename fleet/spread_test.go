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

// News reaches each daemon by reading or from exactly one reader, and neither
// the readers nor what each of them sends grows with the size of the fleet
// faster than its root.
func TestNewsReachesEveryDaemon(t *testing.T) {
	for _, n := range []int{1, 2, 16, 17, 66, 91, 300, 2000} {
		names := instances(n)
		reached := make(map[ident.Instance]int)
		readers := 0
		for i, self := range names {
			s := NewSpread(self, slices.Concat(names[:i], names[i+1:]))
			if s.Reads {
				readers++
				reached[self]++
			}
			for _, other := range s.Tells {
				reached[other]++
			}
			if len(s.Tells)*len(s.Tells) > 4*n {
				t.Errorf("of %d daemons one tells %d", n, len(s.Tells))
			}
		}
		for _, name := range names {
			if reached[name] != 1 {
				t.Errorf("%s of %d daemons is reached %d times", name, n, reached[name])
			}
		}
		if n > directFleet && 4*(readers-1)*(readers-1) >= n {
			t.Errorf("%d of %d daemons read", readers, n)
		}
	}
}

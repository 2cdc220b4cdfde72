package celltest

import (
	"math/rand"
	"time"

	"github.com/leanovate/gopter"
)

// singleSettle is the shortest time between the end of a failure and the start
// of the next one.
const singleSettle = 8 * time.Second

// genSingle generates failures that do not overlap in time.
func genSingle(size int) gopter.Gen {
	return genSlice(Single, maxSingle, func(rng *rand.Rand, i int) Fault {
		f := singleFault(rng, size)
		f.At = Warmup + time.Duration(i)*singleSpacing + randDur(rng, 0, 2*time.Second)
		f.Dur = randDur(rng, 100*time.Millisecond, singleSpacing-singleSettle-2*time.Second)
		return f
	})
}

// singleFault returns a failure of one component: an instance, a link or the
// log.
func singleFault(rng *rand.Rand, size int) Fault {
	one := []NodeSet{Leader, Deputy, Slot(rng.Intn(size))}[rng.Intn(3)]
	switch rng.Intn(9) {
	case 0, 1:
		return Fault{Kind: Kill, From: one}
	case 2:
		return Fault{Kind: Pause, From: one}
	case 3:
		return Fault{Kind: PauseEffects, From: one}
	case 4:
		return Fault{Kind: LogDown}
	case 5:
		return Fault{Kind: LogLostAnswers, Percent: 50}
	case 6:
		return Fault{Kind: Leave, From: one}
	case 7:
		return Fault{Kind: CutBoth, From: one, To: Log}
	}
	return singleCut(rng, one)
}

// singleCut returns a cut, in one or both directions, between one instance and
// all others or between leader and deputy.
func singleCut(rng *rand.Rand, one NodeSet) Fault {
	f := Fault{Kind: []FaultKind{Cut, CutBoth}[rng.Intn(2)], From: one, To: Leader | Deputy | Rest}
	if rng.Intn(3) == 0 {
		f.From, f.To = Leader, Deputy
	}
	if rng.Intn(2) == 0 {
		f.From, f.To = f.To, f.From
	}
	return f
}

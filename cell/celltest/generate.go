package celltest

import (
	"math/rand"
	"reflect"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
)

const (
	chaosWindow   = 40 * time.Second
	singleSpacing = 20 * time.Second
	maxFaults     = 12
	maxSingle     = 4
)

// GenFaults generates the faults of a schedule with the given profile for a cell
// of the given size. The slices shrink by removing and by simplifying faults.
func GenFaults(profile Profile, size int) gopter.Gen {
	switch profile {
	case Single:
		return genSingle(size)
	case Corner:
		return genCorner(size)
	}
	return genSlice(profile, maxFaults, func(rng *rand.Rand, _ int) Fault { return anyFault(rng, profile, size) })
}

// genSlice generates between 1 and limit faults by calling one.
func genSlice(profile Profile, limit int, one func(rng *rand.Rand, i int) Fault) gopter.Gen {
	return func(p *gopter.GenParameters) *gopter.GenResult {
		faults := make([]Fault, 1+p.Rng.Intn(limit))
		for i := range faults {
			faults[i] = one(p.Rng, i)
		}
		result := gopter.NewGenResult(faults, gen.SliceShrinker(faultShrinker(profile)))
		result.ResultType = reflect.TypeOf(faults)
		return result
	}
}

// anyFault returns a random fault that starts within chaosWindow after the
// warm-up.
func anyFault(rng *rand.Rand, profile Profile, size int) Fault {
	f := Fault{At: Warmup + randDur(rng, 0, chaosWindow), Kind: anyKind(rng, profile)}
	f.Dur = anyLength(rng)
	f.From, f.To = anySet(rng, size), anySet(rng, size)
	switch f.Kind {
	case Cut, CutBoth:
		f.From, f.To = anyCut(rng, size)
		return f
	case Kill, Pause, PauseEffects, Leave, Unready:
		f.To = 0
		return f
	}
	f.From, f.To = 0, 0
	f.Percent = 5 + rng.Intn(90)
	f.Amount = randDur(rng, time.Millisecond, 4*time.Second)
	return f
}

// kindsOf lists the kinds of faults of each profile. A kind that is listed twice
// is twice as frequent.
var kindsOf = map[Profile][]FaultKind{
	Chaos:      {Kill, Pause, Pause, PauseEffects, PauseEffects, Cut, Cut, CutBoth, CutBoth, Loss, Delay, Duplicate, LogDown, LogSlow, LogLostAnswers, LogLate, Leave, ConfirmLoss, Unready},
	LogTrouble: {LogDown, LogDown, LogSlow, LogLostAnswers, LogLate, Cut, Kill, Pause, Leave},
	Churn:      {Kill, Kill, Kill, Leave, Leave, Unready, ConfirmLoss, PauseEffects, LogDown, CutBoth},
}

func anyKind(rng *rand.Rand, profile Profile) FaultKind {
	kinds := kindsOf[profile]
	return kinds[rng.Intn(len(kinds))]
}

// anyLength returns a random duration. A third of them lie between 1 and 5
// seconds, near the lease duration.
func anyLength(rng *rand.Rand) time.Duration {
	switch rng.Intn(3) {
	case 0:
		return randDur(rng, 10*time.Millisecond, time.Second)
	case 1:
		return randDur(rng, time.Second, 5*time.Second)
	}
	return randDur(rng, 5*time.Second, 20*time.Second)
}

func anySet(rng *rand.Rand, size int) NodeSet {
	switch rng.Intn(5) {
	case 0:
		return Leader
	case 1:
		return Deputy
	case 2:
		return Leader | Deputy
	}
	return Slot(rng.Intn(size))
}

// cuts are partitions that are known to break ownership protocols of this kind.
var cuts = [][2]NodeSet{
	{Leader, Log}, {Deputy, Log}, {Leader, Deputy}, {Deputy, Leader},
	{Leader | Deputy, Rest}, {Leader | Deputy, Rest | Log}, {Leader | Deputy, Log},
	{Leader, Deputy | Rest}, {Leader, Deputy | Rest | Log}, {Deputy, Leader | Rest},
	{Deputy, Leader | Rest | Log}, {Rest, Leader}, {Rest, Log}, {Leader | Deputy | Rest, Log},
}

func anyCut(rng *rand.Rand, size int) (from, to NodeSet) {
	if rng.Intn(3) > 0 {
		shape := cuts[rng.Intn(len(cuts))]
		if rng.Intn(2) == 0 {
			return shape[1], shape[0]
		}
		return shape[0], shape[1]
	}
	all := Slot(size) - 1
	from = NodeSet(rng.Intn(int(all))) + 1
	if rng.Intn(2) == 0 {
		return from, all &^ from
	}
	return from, all&^from | Log
}

func randDur(rng *rand.Rand, from, to time.Duration) time.Duration {
	d := from + time.Duration(rng.Int63n(int64(to-from)))
	return d.Round(10 * time.Millisecond)
}

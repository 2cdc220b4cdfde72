package celltest

import (
	"math/rand"
	"reflect"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
)

// cornerSpacing is the time between the starts of the two corners of a schedule.
const cornerSpacing = 20 * time.Second

// corner returns a combination of faults that leads to a state which independent
// faults rarely reach. Times are relative to the start of the corner.
type corner func(rng *rand.Rand, size int) []Fault

var corners = []corner{staleLeaseExtension, lateClaim, pairIsolated, pairWithoutLog, frozenOwner, indeterminateDeputy, quickRestart, lossInOutage, leaveInOutage, claimChain, handoverLoss}

// genCorner generates two corners and up to two faults of any kind.
func genCorner(size int) gopter.Gen {
	return func(p *gopter.GenParameters) *gopter.GenResult {
		var faults []Fault
		for i := range 2 {
			start := Warmup + time.Duration(i)*cornerSpacing + randDur(p.Rng, 0, 2*time.Second)
			for _, f := range corners[p.Rng.Intn(len(corners))](p.Rng, size) {
				f.At += start
				faults = append(faults, f)
			}
		}
		for range p.Rng.Intn(3) {
			faults = append(faults, anyFault(p.Rng, Chaos, size))
		}
		result := gopter.NewGenResult(faults, gen.SliceShrinker(faultShrinker(Corner)))
		result.ResultType = reflect.TypeOf(faults)
		return result
	}
}

func millis(rng *rand.Rand, from, to int) time.Duration {
	return randDur(rng, time.Duration(from)*time.Millisecond, time.Duration(to)*time.Millisecond)
}

// staleLeaseExtension makes the deputy claim needlessly while the leader cannot
// access the log, one member receives nothing from the deputy, and messages are
// reordered.
func staleLeaseExtension(rng *rand.Rand, size int) []Fault {
	missed := millis(rng, 850, 1500)
	return []Fault{
		{Kind: CutBoth, From: Leader, To: Log, Dur: millis(rng, 4000, 8000)},
		{Kind: Cut, From: Deputy, To: Slot(rng.Intn(size)), Dur: millis(rng, 4000, 8000)},
		{Kind: Cut, From: Leader, To: Deputy, At: 100 * time.Millisecond, Dur: missed},
		{Kind: Delay, Amount: millis(rng, 50, 1500), At: missed, Dur: millis(rng, 100, 1000)},
		{Kind: Loss, Percent: rng.Intn(60), At: missed, Dur: millis(rng, 100, 2000)},
	}
}

// lateClaim delays a claim in the log while leader and deputy change owners.
func lateClaim(rng *rand.Rand, size int) []Fault {
	slow := []FaultKind{LogSlow, LogLate}[rng.Intn(2)]
	return []Fault{
		{Kind: slow, Percent: 100, Amount: millis(rng, 1000, 5000), Dur: millis(rng, 3000, 10000)},
		{Kind: Kill, From: Slot(rng.Intn(size)), Dur: millis(rng, 3000, 12000)},
		{Kind: Cut, From: Leader, To: Deputy, At: millis(rng, 0, 3000), Dur: millis(rng, 900, 1600)},
	}
}

// pairIsolated cuts leader and deputy together off from all other members and
// the log.
func pairIsolated(rng *rand.Rand, size int) []Fault {
	return []Fault{{Kind: CutBoth, From: Leader | Deputy, To: Rest | Log, Dur: millis(rng, 9000, 32000)}}
}

// pairWithoutLog cuts all members off from the log for a short time, and leader
// and deputy off from the log and from one member for longer.
func pairWithoutLog(rng *rand.Rand, size int) []Fault {
	one := Slot(rng.Intn(size))
	return []Fault{
		{Kind: CutBoth, From: Leader | Deputy | Rest, To: Log, Dur: millis(rng, 2000, 4000)},
		{Kind: CutBoth, From: Leader | Deputy, To: Log, Dur: millis(rng, 12000, 32000)},
		{Kind: CutBoth, From: Leader | Deputy, To: one, Dur: millis(rng, 12000, 32000)},
	}
}

// frozenOwner freezes an owner around a change of leader.
func frozenOwner(rng *rand.Rand, size int) []Fault {
	kind := []FaultKind{Pause, PauseEffects}[rng.Intn(2)]
	return []Fault{
		{Kind: kind, From: Slot(rng.Intn(size)), At: millis(rng, 0, 2500), Dur: millis(rng, 500, 7000)},
		{Kind: []FaultKind{Kill, Pause, PauseEffects}[rng.Intn(3)], From: Leader, At: millis(rng, 0, 2500), Dur: millis(rng, 900, 6000)},
	}
}

// indeterminateDeputy cuts the deputy off from the leader and makes one of them
// fail, while appends take effect late and their outcome is indeterminate.
func indeterminateDeputy(rng *rand.Rand, size int) []Fault {
	return []Fault{
		{Kind: LogLate, Percent: 100, Amount: millis(rng, 500, 5000), Dur: millis(rng, 2000, 8000)},
		{Kind: []FaultKind{Cut, CutBoth}[rng.Intn(2)], From: Deputy, To: Leader, At: millis(rng, 0, 1000), Dur: millis(rng, 900, 6000)},
		{Kind: []FaultKind{Kill, Pause, PauseEffects}[rng.Intn(3)], From: []NodeSet{Leader, Deputy}[rng.Intn(2)], At: millis(rng, 1500, 6000), Dur: millis(rng, 900, 5000)},
	}
}

// quickRestart restarts the leader or the deputy within 800 ms.
func quickRestart(rng *rand.Rand, size int) []Fault {
	return []Fault{
		{Kind: Kill, From: []NodeSet{Leader, Deputy}[rng.Intn(2)], Dur: millis(rng, 10, 800)},
		{Kind: LogSlow, Amount: millis(rng, 100, 2000), Dur: millis(rng, 500, 4000)},
		{Kind: Kill, From: []NodeSet{Leader, Deputy}[rng.Intn(2)], At: millis(rng, 500, 6000), Dur: millis(rng, 10, 800)},
	}
}

// lossInOutage kills a member while the log is down, and stops or freezes the
// leader within a second of the end of the outage.
func lossInOutage(rng *rand.Rand, size int) []Fault {
	down := millis(rng, 3500, 8000)
	return []Fault{
		{Kind: LogDown, Dur: down},
		{Kind: Kill, From: Slot(rng.Intn(size)), At: millis(rng, 0, 1500), Dur: millis(rng, 500, 12000)},
		{Kind: []FaultKind{Kill, Pause, Leave}[rng.Intn(3)], From: Leader, At: down - time.Second + millis(rng, 0, 2000), Dur: millis(rng, 500, 6000)},
	}
}

// leaveInOutage starts planned stops of leader and deputy around an outage of
// the log.
func leaveInOutage(rng *rand.Rand, size int) []Fault {
	return []Fault{
		{Kind: LogDown, At: millis(rng, 0, 1000), Dur: millis(rng, 1000, 7000)},
		{Kind: Leave, From: Leader, At: millis(rng, 0, 3000), Dur: millis(rng, 3000, 14000)},
		{Kind: Leave, From: Deputy, At: millis(rng, 0, 3000), Dur: millis(rng, 3000, 14000)},
	}
}

// claimChain causes several successive claims in a slow log.
func claimChain(rng *rand.Rand, size int) []Fault {
	return []Fault{
		{Kind: LogSlow, Amount: millis(rng, 500, 4000), Dur: millis(rng, 3000, 10000)},
		{Kind: Pause, From: Leader, At: millis(rng, 0, 1500), Dur: millis(rng, 900, 2500)},
		{Kind: Pause, From: Deputy, At: millis(rng, 1000, 5000), Dur: millis(rng, 900, 4000)},
		{Kind: Cut, From: Slot(rng.Intn(size)), To: Leader | Deputy, At: millis(rng, 0, 4000), Dur: millis(rng, 500, 6000)},
	}
}

// handoverLoss starts handovers and makes a process or link fail during them.
func handoverLoss(rng *rand.Rand, size int) []Fault {
	one := Slot(rng.Intn(size))
	return []Fault{
		{Kind: []FaultKind{Leave, Unready}[rng.Intn(2)], From: one, Dur: millis(rng, 1000, 9000)},
		{Kind: []FaultKind{Pause, PauseEffects, Cut, Kill}[rng.Intn(4)], From: []NodeSet{Leader, Deputy, one, Slot(rng.Intn(size))}[rng.Intn(4)], To: Leader | Deputy, At: millis(rng, 0, 1500), Dur: millis(rng, 300, 5000)},
	}
}

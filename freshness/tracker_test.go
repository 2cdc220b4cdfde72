package freshness

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const (
	bound          = 2 * time.Second
	start          = clock.Time(time.Hour)
	step           = 10 * time.Millisecond
	gossipInterval = 400 * time.Millisecond // time between two confirmations that a process sends
	transit        = 20 * time.Millisecond  // of a confirmation
)

// process is one copy in a simulated fleet.
type process struct {
	*Tracker
	checkEnds clock.Time
	sent      clock.Time
}

// simulate runs a fleet and returns the largest age of a copy, and the number of
// checks. While silent reports true, no process hears of another. Checks take 50 ms.
func simulate(n int, seconds int, silent func(clock.Time) bool, fails func(process int, now clock.Time) bool) (oldest time.Duration, checks int) {
	random := rand.New(rand.NewPCG(uint64(n), 1))
	fleet := make([]*process, n)
	for i := range fleet {
		fleet[i] = &process{Tracker: NewTracker(NewPolicy(bound))}
		fleet[i].Confirm(start, 0, random.Float64())
	}
	for now := start; now < start.Add(time.Duration(seconds)*time.Second); now = now.Add(step) {
		for i, p := range fleet {
			if p.running && now >= p.checkEnds {
				if fails(i, now) {
					p.Failed(now, random.Float64())
				} else {
					p.Succeeded(p.sent, random.Float64())
				}
			}
			if p.Due(now, false) {
				p.Started(now)
				p.sent, p.checkEnds = now, now.Add(50*time.Millisecond)
				checks++
			}
			oldest = max(oldest, now.Sub(p.AsOf()))
			if !silent(now) && int(now/clock.Time(step))%int(gossipInterval/step) == i%int(gossipInterval/step) {
				for j, q := range fleet {
					if j == i {
						continue
					}
					q.Confirm(p.AsOf().Add(transit), p.Hops(), random.Float64())
				}
			}
		}
	}
	return oldest, checks
}

func never(clock.Time) bool              { return false }
func noneFails(int, clock.Time) bool     { return false }
func firstFail(i int, _ clock.Time) bool { return i < 3 }

// A copy must not become older than the bound: with any number of processes, while
// they hear nothing of each other, and while some can't reach the source. The rate of
// checks in steady state is that of one process, and no lower: the transit times of
// confirmations that are passed on must not add up.
func TestCopiesStayWithinTheBound(t *testing.T) {
	const seconds = 30
	policy := NewPolicy(bound)
	least := int(seconds * time.Second / (policy.Takeover + policy.Spread))
	most := func(perS float64) int { return int(perS * seconds) }
	for _, n := range []int{1, 2, 11, 100} {
		if oldest, checks := simulate(n, seconds, never, noneFails); oldest > bound || checks > most(1.6)+2*n || checks < least {
			t.Errorf("%d processes: oldest copy %v, %d checks", n, oldest, checks)
		}
		if oldest, _ := simulate(n, seconds, func(clock.Time) bool { return true }, noneFails); oldest > bound {
			t.Errorf("%d processes that hear nothing of each other: oldest copy %v", n, oldest)
		}
		if n <= 3 {
			continue
		}
		if oldest, checks := simulate(n, seconds, never, firstFail); oldest > bound || checks > most(1.6)+2*n {
			t.Errorf("%d processes, of which three can't reach the source: oldest copy %v, %d checks", n, oldest, checks)
		}
	}
}

// A known newer version makes a check due at once, but not during a check or within
// the pause after a failed one.
func TestOutdatedCopyIsCheckedAtOnce(t *testing.T) {
	tr := NewTracker(NewPolicy(bound))
	tr.Confirm(start, 0, 0)
	now := start.Add(step)
	if tr.Due(now, false) || !tr.Due(now, true) {
		t.Error("a fresh copy is checked if and only if a newer version is known")
	}
	tr.Started(now)
	if tr.Due(now, true) {
		t.Error("a second check starts while one is running")
	}
	tr.Failed(now, 0)
	if tr.Due(now.Add(step), true) || !tr.Due(now.Add(bound), true) {
		t.Error("a failed check is repeated at once, or never")
	}
}

// While a newer version is known that the source does not have, as after an unreadable
// one, the source was checked again as soon as it had answered.
func TestUnobtainableVersionIsNotCheckedWithoutPause(t *testing.T) {
	tr := NewTracker(NewPolicy(bound))
	checks := 0
	for now := start; now < start.Add(10*time.Second); now = now.Add(step) {
		if tr.Due(now, true) {
			tr.Started(now)
			tr.Succeeded(now, 0.5)
			checks++
		}
	}
	if most := int(10 * time.Second / (bound / 4)); checks > most {
		t.Errorf("%d checks in 10 s, want at most %d", checks, most)
	}
}

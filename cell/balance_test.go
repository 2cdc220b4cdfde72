package cell

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

const (
	zipfKeys      = 20_000
	zipfExponent  = 1.1
	zipfHot       = 100 // hottest keys that change
	zipfEpoch     = 2 * time.Minute
	zipfEpochs    = 6
	zipfRanges    = 128
	zipfInterval  = 5 * time.Second
	imbalanceGoal = 1.25
	churnGoal     = 0.05
	rebalanceGoal = 60 * time.Second
)

// zipfCell is a cell of four owners under a Zipf load whose hottest keys change.
type zipfCell struct {
	rng       *rand.Rand
	points    []keyspace.Point // of the key of each rank
	rates     []float64        // of each rank
	ranges    []BalanceRange
	owners    []BalanceOwner
	moved     []time.Duration // times of moves
	lastMoved map[keyspace.Range]time.Duration
}

func newZipfCell() *zipfCell {
	w := &zipfCell{rng: rand.New(rand.NewPCG(7, 1)), lastMoved: map[keyspace.Range]time.Duration{}}
	for i := range zipfKeys {
		w.points = append(w.points, keyspace.Hash("reports", []byte(fmt.Sprint(i))))
		w.rates = append(w.rates, 10_000/math.Pow(float64(i+1), zipfExponent))
	}
	for i := range 4 {
		w.owners = append(w.owners, BalanceOwner{Node: ident.Node{Instance: ident.Instance(fmt.Sprintf("t%d", i)), Incarnation: 1}, Capacity: 20})
	}
	for i, r := range keyspace.Divide(zipfRanges) {
		w.ranges = append(w.ranges, BalanceRange{Owner: w.owners[i%4].Node, Load: RangeLoad{Range: r}})
	}
	return w
}

// change assigns the hottest ranks to other keys.
func (w *zipfCell) change() {
	for i := range zipfHot {
		j := zipfHot + w.rng.IntN(zipfKeys-zipfHot)
		w.points[i], w.points[j] = w.points[j], w.points[i]
	}
}

// measure sets the load of each range.
func (w *zipfCell) measure(now time.Duration) {
	for i := range w.ranges {
		r := &w.ranges[i]
		r.Load = RangeLoad{Range: r.Load.Range}
		at, ok := w.lastMoved[r.Load.Range]
		r.RecentlyMoved = ok && now-at < moveCooldown
	}
	for rank, p := range w.points {
		l := &w.ranges[w.find(p)].Load
		l.Rate += w.rates[rank]
		if w.rates[rank] > l.HotRate {
			l.HotPoint, l.HotRate = p, w.rates[rank]
		}
	}
}

// addSamplingNoise adds the noise that results from counting requests over an
// interval.
func (w *zipfCell) addSamplingNoise() {
	seconds := zipfInterval.Seconds()
	for i := range w.ranges {
		l := &w.ranges[i].Load
		l.Rate = max(0, l.Rate+w.rng.NormFloat64()*math.Sqrt(l.Rate/seconds))
	}
}

func (w *zipfCell) find(p keyspace.Point) int {
	low, high := 0, len(w.ranges)-1
	for low < high {
		middle := (low + high) / 2
		if w.ranges[middle].Load.Range.Last < p {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

func (w *zipfCell) imbalance() float64 {
	loads := map[ident.Node]float64{}
	total := 0.0
	for _, r := range w.ranges {
		loads[r.Owner] += r.Load.Rate
		total += r.Load.Rate
	}
	highest := 0.0
	for _, l := range loads {
		highest = max(highest, l)
	}
	return highest * float64(len(w.owners)) / total
}

// apply executes a plan.
func (w *zipfCell) apply(plan BalancePlan, now time.Duration) {
	for _, s := range plan.Splits {
		i := w.find(s.Range.First)
		parts := make([]BalanceRange, 0, len(s.Parts))
		for _, p := range s.Parts {
			parts = append(parts, BalanceRange{Owner: w.ranges[i].Owner, Load: p})
		}
		w.ranges = append(append(append([]BalanceRange{}, w.ranges[:i]...), parts...), w.ranges[i+1:]...)
	}
	for _, r := range plan.Merges {
		first, last := w.find(r.First), w.find(r.Last)
		joined := BalanceRange{Owner: w.ranges[first].Owner, Load: RangeLoad{Range: r}}
		w.ranges = append(append(append([]BalanceRange{}, w.ranges[:first]...), joined), w.ranges[last+1:]...)
	}
	for _, m := range plan.Moves {
		w.ranges[w.find(m.Range.First)].Owner = m.To
		w.moved = append(w.moved, now)
		w.lastMoved[m.Range] = now
	}
}

// movedWithin returns the number of moves in the minute before now.
func (w *zipfCell) movedWithin(now time.Duration) int {
	count := 0
	for _, at := range w.moved {
		if now-at < moveWindow {
			count++
		}
	}
	return count
}

// zipfResult summarizes a run.
type zipfResult struct {
	worstRebalanced float64 // highest max/mean load later than rebalanceGoal after a change
	meanRatio       float64
	worstChurn      float64 // highest share of the ranges moved per minute
	moves           int
	ranges          int
}

type strategy func(w *zipfCell, now time.Duration) BalancePlan

// run applies the strategy at each interval. The first two epochs are a warm-up
// that is not measured.
func (w *zipfCell) run(decide strategy) zipfResult {
	var res zipfResult
	samples := 0
	end := zipfEpoch * (zipfEpochs + 2)
	for now := time.Duration(0); now < end; now += zipfInterval {
		if now > 0 && now%zipfEpoch == 0 {
			w.change()
		}
		w.measure(now)
		w.addSamplingNoise()
		w.apply(decide(w, now), now)
		w.measure(now)
		if now < 2*zipfEpoch {
			continue
		}
		ratio := w.imbalance()
		res.meanRatio += ratio
		samples++
		if now%zipfEpoch >= rebalanceGoal {
			res.worstRebalanced = max(res.worstRebalanced, ratio)
		}
		res.worstChurn = max(res.worstChurn, float64(w.movedWithin(now))/float64(len(w.ranges)))
	}
	res.meanRatio /= float64(samples)
	res.moves = len(w.moved)
	res.ranges = len(w.ranges)
	return res
}

func testBalance() BalanceConfig {
	return BalanceConfig{Interval: zipfInterval, WeightImbalance: 1, WeightChurn: 0.5, WeightUnavailable: 0.5, MaxMovesPerMinute: 6, MaxRanges: 256}
}

// weighed is PlanBalance with the configured limit of moves.
func weighed(cfg BalanceConfig) strategy {
	rebalancing := false
	return func(w *zipfCell, now time.Duration) BalancePlan {
		budget := min(maxMoves, cfg.MaxMovesPerMinute-w.movedWithin(now))
		plan := PlanBalance(cfg, BalanceInput{Owners: w.owners, Ranges: w.ranges, Moves: budget, MinRanges: zipfRanges, Rebalancing: rebalancing})
		rebalancing = plan.Rebalancing
		return plan
	}
}

// static never changes the initial assignment.
func static(*zipfCell, time.Duration) BalancePlan { return BalancePlan{} }

// greedy moves ranges while that improves the balance, regardless of the cost.
func greedy(w *zipfCell, _ time.Duration) BalancePlan {
	b := newBalancer(BalanceConfig{WeightImbalance: 1}, BalanceInput{Owners: w.owners, Ranges: w.ranges})
	var plan BalancePlan
	for len(plan.Moves) < len(b.ranges) {
		index, to := b.bestMove()
		if to == nil {
			break
		}
		r := &b.ranges[index]
		plan.Moves = append(plan.Moves, BalanceMove{Range: r.Load.Range, To: to.node})
		b.owner(r.Owner).load -= r.Load.Rate
		to.load += r.Load.Rate
		r.Owner = to.node
	}
	return plan
}

func TestBalanceUnderMovingHotKeys(t *testing.T) {
	results := map[string]zipfResult{
		"weighed": newZipfCell().run(weighed(testBalance())),
		"static":  newZipfCell().run(static),
		"greedy":  newZipfCell().run(greedy),
	}
	for _, name := range []string{"weighed", "static", "greedy"} {
		r := results[name]
		t.Logf("%-8s max/mean later than 60 s after a change %.2f, mean %.2f, ranges moved per minute at most %.1f%%, moves %d, ranges %d",
			name, r.worstRebalanced, r.meanRatio, 100*r.worstChurn, r.moves, r.ranges)
	}
	if r := results["weighed"]; r.worstRebalanced > imbalanceGoal || r.worstChurn > churnGoal {
		t.Errorf("max/mean %.2f, want at most %.2f; churn %.3f, want at most %.3f", r.worstRebalanced, imbalanceGoal, r.worstChurn, churnGoal)
	}
	if r := results["static"]; r.worstRebalanced <= imbalanceGoal {
		t.Errorf("the load is balanced without any move: %.2f", r.worstRebalanced)
	}
}

// Under constant load the moves must stop.
func TestMovesStopUnderConstantLoad(t *testing.T) {
	w := newZipfCell()
	decide := weighed(testBalance())
	for now := time.Duration(0); now < 10*time.Minute; now += zipfInterval {
		w.measure(now)
		w.addSamplingNoise()
		w.apply(decide(w, now), now)
	}
	moves := len(w.moved)
	for now := 10 * time.Minute; now < 20*time.Minute; now += zipfInterval {
		w.measure(now)
		w.addSamplingNoise()
		w.apply(decide(w, now), now)
	}
	if len(w.moved) != moves {
		t.Errorf("%d moves under constant load", len(w.moved)-moves)
	}
}

// Higher weights of the cost of a move must reduce the number of moves.
func TestHigherMoveCostsReduceMoves(t *testing.T) {
	cheap, costly := testBalance(), testBalance()
	cheap.WeightChurn, cheap.WeightUnavailable = 0, 0
	costly.WeightChurn, costly.WeightUnavailable, costly.WeightImbalance = 1, 1, 0.2
	few := newZipfCell().run(weighed(costly))
	many := newZipfCell().run(weighed(cheap))
	if few.moves >= many.moves {
		t.Errorf("%d moves at high cost, %d at none", few.moves, many.moves)
	}
}

func BenchmarkPlanBalance(b *testing.B) {
	w := newZipfCell()
	w.measure(0)
	in := BalanceInput{Owners: w.owners, Ranges: w.ranges, Moves: maxMoves, MinRanges: zipfRanges}
	for b.Loop() {
		PlanBalance(testBalance(), in)
	}
}

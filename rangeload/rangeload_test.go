package rangeload

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/keyspace"
)

func TestMeasureFindsRatesAndTheHotPoint(t *testing.T) {
	var r Recorder
	ranges := keyspace.Divide(2)
	hot := ranges[1].First + 7
	for i := range 1000 {
		r.Observe(keyspace.Point(i))
		r.Observe(hot)
	}
	loads := r.Measure(ranges, 10*time.Second)
	if loads[0].Rate != 100 || loads[1].Rate != 100 {
		t.Errorf("rates %v and %v, want 100 each", loads[0].Rate, loads[1].Rate)
	}
	if loads[0].HotRate != 0 || loads[1].HotPoint != hot || loads[1].HotRate != 100 {
		t.Errorf("hot points %+v", loads)
	}
	if again := r.Measure(ranges, 10*time.Second); again[0].Rate != 0 || again[1].Rate != 0 {
		t.Errorf("without requests: %+v", again)
	}
}

func TestMeasureScalesTheWindowToAllRequests(t *testing.T) {
	var r Recorder
	ranges := keyspace.Divide(4)
	for i := range 10 * windowSize {
		r.Observe(ranges[i%4].Last)
	}
	for _, l := range r.Measure(ranges, time.Second) {
		if l.Rate != 2.5*windowSize {
			t.Errorf("rate %v, want %v", l.Rate, 2.5*windowSize)
		}
	}
}

func TestObserveDoesNotAllocate(t *testing.T) {
	var r Recorder
	if n := testing.AllocsPerRun(100, func() { r.Observe(1) }); n != 0 {
		t.Errorf("Observe allocates %v times", n)
	}
}

func TestOnlyChangesAreReported(t *testing.T) {
	var r Reporter
	ranges := keyspace.Divide(3)
	loads := []cell.RangeLoad{{Range: ranges[0], Rate: 100}, {Range: ranges[1], Rate: 100}, {Range: ranges[2], Rate: 1}}
	if n := len(r.Changes(loads)); n != 3 {
		t.Fatalf("first report names %d ranges, want 3", n)
	}
	loads[0].Rate, loads[2].Rate = 110, 4 // below minRelativeChange, below minTotalShare
	if got := r.Changes(loads); len(got) != 0 {
		t.Errorf("insignificant changes are reported: %+v", got)
	}
	loads[0].Rate = 130
	loads[1].HotPoint, loads[1].HotRate = ranges[1].First, 60
	if n := len(r.Changes(loads)); n != 2 {
		t.Errorf("%d ranges reported, want the two that changed", n)
	}
	for range fullReportInterval - 3 {
		r.Changes(loads)
	}
	if n := len(r.Changes(loads)); n != 3 {
		t.Errorf("the full report names %d ranges, want 3", n)
	}
}

package daemon

import (
	"testing"
	"time"
)

func TestUnavailableTimeCountsIntervalsWithHeldOrRefusedCallers(t *testing.T) {
	var u unavailable
	var total time.Duration
	for _, met := range []uint64{0, 3, 3, 4, 4} {
		total += u.step(met)
	}
	if total != 2*unavailableInterval {
		t.Errorf("%v, want two intervals", total)
	}
}

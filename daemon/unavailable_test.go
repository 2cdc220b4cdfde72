package daemon

import (
	"testing"
	"time"
)

func TestUnavailableTimeCountsIntervalsWithHeldOrRefusedCallers(t *testing.T) {
	var u unavailable
	var sum time.Duration
	for _, total := range []uint64{0, 3, 3, 4, 4} {
		sum += u.step(total)
	}
	if sum != 2*unavailableInterval {
		t.Errorf("%v, want two intervals", sum)
	}
}

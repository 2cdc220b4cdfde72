package loadstate

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// A figure of a target whose speed changes several times a second must not rule for long.
func TestFiguresLoseSignificance(t *testing.T) {
	start := clock.Time(time.Hour)
	var s State
	if s.Slowness(start) != 1 {
		t.Error("a target that has stated nothing is expected to be slow")
	}
	s.Observe(Figures{Slowness: 3}, start)
	for _, tt := range []struct {
		age      time.Duration
		min, max float64
	}{{0, 3, 3}, {10 * time.Millisecond, 2.7, 3}, {80 * time.Millisecond, 1.8, 2.2}, {200 * time.Millisecond, 1, 1.3}, {time.Second, 1, 1.01}} {
		if got := s.Slowness(start.Add(tt.age)); got < tt.min || got > tt.max {
			t.Errorf("%v after a figure of 3: %.2f, want %.2f to %.2f", tt.age, got, tt.min, tt.max)
		}
	}
	s.Observe(Figures{Slowness: 1}, start.Add(-time.Millisecond))
	if got := s.Slowness(start); got != 3 {
		t.Errorf("an older figure replaces a newer one: %v", got)
	}
	s.Observe(Figures{Slowness: 1e9}, start.Add(time.Millisecond))
	if got := s.Slowness(start.Add(time.Millisecond)); got != maxSlowness {
		t.Errorf("a figure without sense gives %v", got)
	}
}

func ExampleState() {
	var s State
	now := clock.Time(time.Hour)
	s.Observe(Figures{Running: 3, Slots: 8, Slowness: 3}, now)
	fmt.Println(s.Slowness(now), s.Slowness(now.Add(70*time.Millisecond)))
	// Output: 3 2
}

package bench

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestScheduleFollowsPhases(t *testing.T) {
	phases, err := ParsePhases("1000x10s,4000x5s")
	if err != nil {
		t.Fatal(err)
	}
	s := newSchedule(phases, 0.5, rand.New(rand.NewPCG(1, 1)))
	counts := [2]int{}
	last := time.Duration(0)
	for at, ok := s.next(); ok; at, ok = s.next() {
		if at < last {
			t.Fatalf("send time %v after %v", at, last)
		}
		last = at
		if at < 10*time.Second {
			counts[0]++
		} else {
			counts[1]++
		}
	}
	// Half of each phase's requests, with five standard deviations of a Poisson count.
	for i, want := range []int{5000, 10000} {
		if counts[i] < want-500 || counts[i] > want+500 {
			t.Errorf("phase %d: %d requests, want about %d", i, counts[i], want)
		}
	}
	if last >= totalDuration(phases) {
		t.Errorf("last request at %v, after the end", last)
	}
}

func TestParsePhasesErrors(t *testing.T) {
	for _, s := range []string{"", "10", "0x1s", "10x", "10x0s", "ax1s", "10x1s,"} {
		if _, err := ParsePhases(s); err == nil {
			t.Errorf("phases %q: no error", s)
		}
	}
}

func TestHotKeysRotate(t *testing.T) {
	c := KeyConfig{Count: 100, Hot: 10, Rotation: time.Minute}
	if first, second := c.keyOf(3, 0), c.keyOf(3, 59*time.Second); first != 3 || second != 3 {
		t.Errorf("keys %d and %d within the first rotation, want 3", first, second)
	}
	if got := c.keyOf(3, 61*time.Second); got != 13 {
		t.Errorf("key %d of rank 3 after a rotation, want 13", got)
	}
	if got := c.keyOf(50, time.Hour); got != 50 {
		t.Errorf("key %d of rank 50, want 50: only hot ranks rotate", got)
	}
	if got := c.keyOf(3, 10*time.Minute); got != 3 {
		t.Errorf("key %d of rank 3 after ten rotations of ten keys, want 3", got)
	}
}

func TestParseOp(t *testing.T) {
	op, err := ParseOp("booking:POST:/bookings/{key}/surveyor:0.5:5s")
	if err != nil || op.Idempotent || op.Service() != "bookings" || op.PathFor("h1") != "/bookings/h1/surveyor" || op.TargetPathFor("h1") != "/h1/surveyor" {
		t.Errorf("operation %+v, error %v", op, err)
	}
	for _, s := range []string{"a:GET:/x:1:1s", "a:GET:/{key}:0:1s", "a:GET:/{key}:1:1", "a:GET:{key}:1:1s", "a"} {
		if _, err := ParseOp(s); err == nil {
			t.Errorf("operation %q: no error", s)
		}
	}
}

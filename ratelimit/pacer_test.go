package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// In no window of 4 s may a target get more than one and a half times what its limit
// allows, and 5 requests; with a clock that stands still and then jumps, too.
func TestPacerBoundsTheRequestsOfAnyWindow(t *testing.T) {
	const window = 4 * time.Second
	for _, rate := range []float64{0, 0.3, 1, 20, 500} {
		random := rand.New(rand.NewPCG(1, uint64(rate*10)))
		var p Pacer
		now := clock.Time(time.Second)
		p.SetLimit(rate, now)
		var sent []clock.Time
		paused := time.Duration(0)
		for end := now.Add(60 * time.Second); now.Before(end); {
			step := time.Duration(random.ExpFloat64() * float64(time.Millisecond))
			if random.IntN(5000) == 0 {
				step = 3 * time.Second // a pause of the process
				paused += step
			}
			now = now.Add(step)
			if p.Ready(now) {
				p.Take(now)
				sent = append(sent, now)
			}
		}
		allowed := int(1.5*rate*window.Seconds()) + 5
		for i := range sent {
			if k := i + allowed; k < len(sent) && sent[k].Sub(sent[i]) < window {
				t.Fatalf("limit %v: %d requests within %v, allowed %d", rate, allowed+1, sent[k].Sub(sent[i]), allowed)
			}
		}
		if want := 0.9 * rate * (60*time.Second - paused).Seconds(); float64(len(sent)) < want {
			t.Errorf("limit %v: %d requests in 60 s with pauses of %v, want %.0f or more", rate, len(sent), paused, want)
		}
	}
}

func TestPacerWait(t *testing.T) {
	now := clock.Time(time.Second)
	var p Pacer
	if p.Wait(100, now) != 0 || !p.Ready(now) {
		t.Error("a pacer without a limit makes requests wait")
	}
	p.SetLimit(10, now)
	if got := p.Wait(1, now); got != 100*time.Millisecond {
		t.Errorf("the first request after a limit of 10 waits for %v", got)
	}
	if got := p.Wait(3, now.Add(50*time.Millisecond)); got != 250*time.Millisecond {
		t.Errorf("the third request waits for %v", got)
	}
	p.Take(now.Add(100 * time.Millisecond))
	p.Return(now.Add(100 * time.Millisecond))
	if !p.Ready(now.Add(100 * time.Millisecond)) {
		t.Error("a request that was not sent counts")
	}
	p.Unlimit()
	if p.Limited() || !p.Ready(now) {
		t.Error("the limit stays after its withdrawal")
	}
}

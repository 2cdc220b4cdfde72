package hedge

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const (
	simTargets = 40
	simSlots   = 4
	simEntries = 8
	// simRate uses a third of the slots.
	simRate   = simTargets * simSlots / 3 / 0.06
	simPeriod = 60 * time.Second
	simShare  = 0.05
)

// replayLoad serves the same load with and without copies. slowdown is that of each target at
// a time, 0 if its responses are lost.
func replayLoad(rate float64, slowdown func(target int, at time.Duration) float64) (without, with replayResult) {
	run := func(share float64) replayResult {
		r := &replay{now: clock.Time(time.Hour), rand: rand.New(rand.NewPCG(1, 2)), canceledCounts: true}
		began := r.now
		for i := range simTargets {
			r.targets = append(r.targets, &simTarget{slots: simSlots, work: 1, slowdown: func(at clock.Time) float64 { return slowdown(i, at.Sub(began)) }})
		}
		for range simEntries {
			var p *Policy
			if share > 0 {
				p = New(share)
			}
			r.entries = append(r.entries, p)
		}
		return r.run(rate, simPeriod)
	}
	return run(0), run(simShare)
}

// checkLimit checks that the copies stay within the operators' limit over all entries.
func checkLimit(t *testing.T, r replayResult) {
	t.Helper()
	if float64(r.sent) > simShare*float64(r.requests) {
		t.Errorf("%d copies of %d requests, above the limit of %v", r.sent, r.requests, simShare)
	}
}

// Guards against a policy that leaves the slowest answers to a slow target. Each of forty targets
// takes ten times as long for 0.4 s in every 20 s, which is over before the choice of targets
// knows it.
func TestSlowTargetAmongGoodOnes(t *testing.T) {
	without, with := replayLoad(simRate, func(target int, at time.Duration) float64 {
		if (at+time.Duration(target)*500*time.Millisecond)%(20*time.Second) < 400*time.Millisecond {
			return 10
		}
		return 1
	})
	t.Logf("without %+v", without)
	t.Logf("with    %+v", with)
	checkLimit(t, with)
	if with.p999 > without.p999/2 {
		t.Errorf("p99.9 is %v with copies and %v without", with.p999, without.p999)
	}
	if with.won*3 < with.sent {
		t.Errorf("%d of %d copies were of use", with.won, with.sent)
	}
}

// Guards against copies that make the responses later where many targets are slow at a time:
// each takes three times as long for a fifth of the time. The delay is then that of slow work,
// so few copies are of use.
func TestManySlowTargets(t *testing.T) {
	without, with := replayLoad(simRate, func(target int, at time.Duration) float64 {
		if (at+time.Duration(target)*310*time.Millisecond)%(2*time.Second) < 400*time.Millisecond {
			return 3
		}
		return 1
	})
	t.Logf("without %+v", without)
	t.Logf("with    %+v", with)
	checkLimit(t, with)
	if with.p99 > without.p99*21/20 {
		t.Errorf("p99 is %v with copies and %v without", with.p99, without.p99)
	}
}

// Guards against copies that add load to a fleet that is slow as a whole: they can't help, so
// there must be few. All targets take four times as long from 20 s on.
func TestSlowFleet(t *testing.T) {
	without, with := replayLoad(simRate/3, func(_ int, at time.Duration) float64 {
		if at > 20*time.Second {
			return 4
		}
		return 1
	})
	t.Logf("without %+v", without)
	t.Logf("with    %+v", with)
	checkLimit(t, with)
	if with.sent*50 > with.requests {
		t.Errorf("%d copies of %d requests", with.sent, with.requests)
	}
	if with.p99 > without.p99*11/10 {
		t.Errorf("p99 is %v with copies and %v without", with.p99, without.p99)
	}
}

// Guards against copies under overload, where each takes the place of a request. Twice as many
// requests arrive as the targets can serve.
func TestOverload(t *testing.T) {
	without, with := replayLoad(6*simRate, func(int, time.Duration) float64 { return 1 })
	t.Logf("without %+v", without)
	t.Logf("with    %+v", with)
	if with.sent*1000 > with.requests {
		t.Errorf("%d copies of %d requests", with.sent, with.requests)
	}
}

// Guards against copies that take capacity from other requests while nearly all slots are in use.
func TestNearlyFullFleet(t *testing.T) {
	without, with := replayLoad(2.85*simRate, func(int, time.Duration) float64 { return 1 })
	t.Logf("without %+v", without)
	t.Logf("with    %+v", with)
	checkLimit(t, with)
	if with.p99 > without.p99*11/10 || with.unanswered > without.unanswered+without.requests/1000 {
		t.Errorf("p99 is %v with copies and %v without; %d and %d are unanswered", with.p99, without.p99, with.unanswered, without.unanswered)
	}
}

// Guards against requests that stay unanswered although another target could answer them. One
// of forty targets begins to lose every response after 20 s.
func TestTargetThatLosesResponses(t *testing.T) {
	without, with := replayLoad(simRate, func(target int, at time.Duration) float64 {
		if target == 0 && at > 20*time.Second {
			return 0
		}
		return 1
	})
	t.Logf("without %+v", without)
	t.Logf("with    %+v", with)
	checkLimit(t, with)
	if with.unanswered*5 > without.unanswered {
		t.Errorf("%d requests are unanswered with copies and %d without", with.unanswered, without.unanswered)
	}
}

// Guards against copies of requests that must not have one, each for a single reason.
func TestRefusals(t *testing.T) {
	p := New(0.05)
	now := clock.Time(time.Second)
	for range 200 {
		p.CountRequest()
		p.Observe(simRoute, 50*time.Millisecond, now)
	}
	good := Request{Route: simRoute, Idempotent: true, AttemptsLeft: 2, Left: time.Second}
	if delay, refusal := p.Delay(&good); refusal != None || delay < 50*time.Millisecond || delay > 70*time.Millisecond {
		t.Fatalf("delay %v, %v", delay, refusal)
	}
	for want, change := range map[string]func(*Request){
		"not idempotent": func(r *Request) { r.Idempotent = false },
		"keyed":          func(r *Request) { r.Keyed = true },
		"large response": func(r *Request) { r.LargeResponse = true },
		"suspected":      func(r *Request) { r.Suspected = true },
		"large body":     func(r *Request) { r.Body = maxBody + 1 },
		"attempts":       func(r *Request) { r.AttemptsLeft = 1 },
		"other route":    func(r *Request) { r.Route = "other" },
		"time left":      func(r *Request) { r.Left = 90 * time.Millisecond },
	} {
		r := good
		change(&r)
		if _, refusal := p.Delay(&r); refusal == None {
			t.Errorf("%s: a copy is planned", want)
		}
	}
	state := State{Route: simRoute, Left: 500 * time.Millisecond, Spare: true}
	for want, change := range map[Refusal]func(*State){
		CallerLeft: func(s *State) { s.CallerLeft = true },
		Ineligible: func(s *State) { s.Suspected = true },
		TimeLeft:   func(s *State) { s.Left = 20 * time.Millisecond },
		Link:       func(s *State) { s.LinkBacklog = time.Second },
		Capacity:   func(s *State) { s.Spare = false },
	} {
		s := state
		change(&s)
		if got := p.Admit(s); got != want {
			t.Errorf("refusal %v, want %v", got, want)
		}
	}
	for range maxSaved {
		if got := p.Admit(state); got != None {
			t.Fatalf("refusal %v within the limit", got)
		}
	}
	if got := p.Admit(state); got != Limit {
		t.Errorf("refusal %v beyond the limit", got)
	}
	p.Withdraw()
	if got := p.Admit(state); got != None {
		t.Errorf("refusal %v after a copy was withdrawn", got)
	}
}

// Guards against copies that go on at the full limit although none is answered first, and
// against a policy that never tries again.
func TestUselessCopiesBecomeFew(t *testing.T) {
	p := New(1)
	now := clock.Time(time.Second)
	sent := 0
	for range 1000 {
		p.CountRequest()
		p.Observe(simRoute, 50*time.Millisecond, now)
		if p.Admit(State{Route: simRoute, Left: time.Second, Spare: true}) == None {
			sent++
			p.ObserveCopy(simRoute, false)
		}
	}
	if sent < 1000/probeInterval || sent > 1000/probeInterval+50 {
		t.Errorf("%d copies of 1000 requests", sent)
	}
}

// Guards against a limit that lets a daemon send copies before it has had requests, or save
// them without bound.
func TestLimitIsAShareOfRequests(t *testing.T) {
	l := limit{share: 0.1}
	if l.take() {
		t.Error("a copy without requests")
	}
	for range 1000 {
		l.request()
	}
	taken := 0
	for l.take() {
		taken++
	}
	if taken != maxSaved {
		t.Errorf("%d copies at once, want %d", taken, maxSaved)
	}
}

// Guards against an estimate that keeps the times of a state that is long over, and a map that
// grows with each configuration.
func TestOldObservationsFade(t *testing.T) {
	p := New(0.05)
	now := clock.Time(time.Second)
	for range 1000 {
		p.Observe("old", time.Second, now)
	}
	for range 500 {
		now = now.Add(time.Second)
		p.Observe("old", 50*time.Millisecond, now)
	}
	if q := p.routes["old"].times.Quantile(0.95); q > 70*time.Millisecond {
		t.Errorf("p95 is %v after 500 s at 50 ms", q)
	}
	p.Observe("new", time.Second, now.Add(time.Hour))
	if len(p.routes) != 1 {
		t.Errorf("%d routes, want 1", len(p.routes))
	}
}

// Guards against a quantile outside its bucket, and times beyond the last bucket.
func TestQuantile(t *testing.T) {
	var e Estimate
	now := clock.Time(time.Second)
	for i := range 1000 {
		e.Observe(time.Duration(i+1)*time.Millisecond, now)
	}
	for _, q := range []float64{0.05, 0.5, 0.95, 0.99, 1} {
		want := time.Duration(q * float64(time.Second))
		if got := e.Quantile(q); got < want-time.Microsecond || got > want*6/5+time.Microsecond {
			t.Errorf("quantile %v is %v, want %v to %v", q, got, want, want*6/5)
		}
	}
	e.Observe(time.Hour, now)
	e.Observe(0, now)
	if e.Quantile(1) < time.Minute/2 {
		t.Errorf("longest time %v", e.Quantile(1))
	}
}

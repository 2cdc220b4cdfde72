package coldstart

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const testStart = clock.Time(time.Hour)

var testLimits = []Limit{
	{Known: true, PerSecond: 13, Overage: 1.5, Slack: 8, Duration: 10 * time.Second},
	{Known: true, PerSecond: 1, Overage: 1.5, Slack: 8, Duration: 10 * time.Second},
	{Known: true, PerSecond: 40, Overage: 1.5, Slack: 8, Duration: 4 * time.Second},
	{Known: true, PerSecond: 6, Overage: 1, Slack: 3, Duration: 10 * time.Second},
}

// event is something that happens at a time in a replay.
type event struct {
	at   clock.Time
	what func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// arrival is a request as the target receives it.
type arrival struct {
	at      clock.Time
	started clock.Time
	paced   bool
}

// replayer replays a target that becomes cold and warm, that is suspended now and then and
// loses responses, under more demand than it tolerates.
type replayer struct {
	random    *rand.Rand
	limit     Limit
	now       clock.Time
	events    events
	tracker   *Tracker
	nextID    uint64
	coldUntil clock.Time
	// resumesAt is until when the target accepts nothing.
	resumesAt   clock.Time
	lastArrival clock.Time
	started     int // processes of the target
	arrivals    []arrival
	stalls      time.Duration // longest suspension of the target
	restarts    bool          // the daemon restarts now and then
	process     int           // of the daemon
}

func (r *replayer) after(d time.Duration, what func()) {
	heap.Push(&r.events, event{at: r.now.Add(d), what: what})
}

func (r *replayer) upTo(d time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(d)))
}

func (r *replayer) run(length time.Duration) {
	r.now, r.tracker = testStart, NewTracker(testStart)
	r.tracker.SetLimit(r.limit, r.now)
	r.coldUntil = r.now.Add(10 * time.Second)
	r.demand()
	r.heartbeat()
	r.change()
	for end := testStart.Add(length); len(r.events) > 0; {
		e := heap.Pop(&r.events).(event)
		if !e.at.Before(end) {
			return
		}
		r.now = e.at
		e.what()
	}
}

// demand sends a request whenever the tracker lets it, at most one in 2 ms.
func (r *replayer) demand() {
	r.after(max(r.upTo(4*time.Millisecond), 1), r.demand)
	if r.tracker.Wait(1, r.now) > 0 {
		return
	}
	r.nextID++
	id, started, paced, tracker, process := r.nextID, r.now, r.tracker.Pacing(r.now), r.tracker, r.process
	tracker.Start(id, r.now)
	if r.random.IntN(20) == 0 {
		r.after(r.upTo(300*time.Millisecond), func() { tracker.Ended(id, r.now) }) // abandoned before it was written
		return
	}
	r.after(r.upTo(30*time.Millisecond), func() {
		if r.process != process {
			return
		}
		tracker.Written(id, r.now)
		at := max(r.now, r.resumesAt).Add(r.upTo(5 * time.Millisecond))
		at = max(at, r.lastArrival) // requests are read in their order
		r.lastArrival = at
		lost, target := r.random.IntN(10) == 0, r.started
		heap.Push(&r.events, event{at: at, what: func() {
			if r.started == target {
				r.arrivals = append(r.arrivals, arrival{at: at, started: started, paced: paced})
			}
		}})
		heap.Push(&r.events, event{at: at.Add(100*time.Millisecond + r.upTo(300*time.Millisecond)), what: func() {
			if !lost && r.started == target {
				tracker.Answered(id, r.now)
			}
			tracker.Ended(id, r.now)
		}})
	})
}

// heartbeat states what is left of the cold start, at times late.
func (r *replayer) heartbeat() {
	r.after(870*time.Millisecond, r.heartbeat)
	if r.now.Before(r.resumesAt) {
		return
	}
	remaining := max(r.coldUntil.Sub(r.now), 0)
	r.after(r.upTo(200*time.Millisecond), func() { r.tracker.Observe(HeartbeatStatement(true, remaining, r.now), r.now) })
}

// change changes the state of the target or the daemon at random times.
func (r *replayer) change() {
	r.after(r.upTo(3*time.Second), r.change)
	switch r.random.IntN(5) {
	case 0:
		r.coldUntil = r.now.Add(r.limit.Duration)
	case 1:
		r.tracker.Doubt(ConnectionReset, r.now)
	case 2:
		r.coldUntil, r.resumesAt, r.lastArrival = r.now.Add(r.limit.Duration), r.now, r.now
		r.started++ // what the earlier process has not read is lost
		r.tracker.Replaced(r.now)
	case 3:
		if r.stalls > 0 {
			r.resumesAt = max(r.resumesAt, r.now.Add(r.upTo(r.stalls)))
		}
	case 4:
		if r.restarts {
			r.process++
			r.tracker = NewTracker(r.now)
			r.tracker.SetLimit(r.limit, r.now)
		}
	}
}

// tooMany returns a window of one second with more arrivals than the bound allows, among those
// whose request that was started last was paced. What was sent to a target before it is known
// to be cold can't be taken back. A restarted daemon does not know what was sent to a warm
// target.
func (r *replayer) tooMany() string {
	bound := int(r.limit.Bound())
	all := r.arrivals
	if r.restarts {
		all = slices.DeleteFunc(all, func(a arrival) bool { return !a.paced })
	}
	first := 0
	for last := range all {
		for all[last].at.Sub(all[first].at) >= time.Second {
			first++
		}
		inWindow := all[first : last+1]
		if len(inWindow) <= bound {
			continue
		}
		newest := inWindow[0]
		for _, a := range inWindow {
			if newest.started.Before(a.started) {
				newest = a
			}
		}
		if newest.paced {
			return fmt.Sprintf("%d requests within a second at %v, %d are allowed", len(inWindow), all[last].at.Sub(testStart), bound)
		}
	}
	return ""
}

// A cold target got 34 requests within a second where 27.5 are allowed.
func TestNoSecondHasMoreRequestsThanAllowed(t *testing.T) {
	for name, tt := range map[string]replayer{
		"suspended targets": {stalls: 4 * time.Second}, "restarted daemons": {restarts: true}, "neither": {},
	} {
		for i, limit := range testLimits {
			for seed := range uint64(12) {
				r := tt
				r.random, r.limit = rand.New(rand.NewPCG(seed, uint64(i))), limit
				r.run(2 * time.Minute)
				if got := r.tooMany(); got != "" {
					t.Errorf("%s, %.0f a second, seed %d: %s", name, limit.PerSecond, seed, got)
				}
			}
		}
	}
}

// Callers wait while a target is cold, so it gets nearly what it tolerates, and everything
// from the moment at which it is warm.
func TestColdTargetsGetWhatTheyTolerate(t *testing.T) {
	for _, limit := range testLimits {
		now := testStart
		tr := NewTracker(now)
		tr.SetLimit(limit, now)
		tr.Observe(HeartbeatStatement(true, 10*time.Second, now.Add(time.Second)), now)
		sent := 0
		for ; now.Before(testStart.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
			for tr.Wait(1, now) == 0 {
				sent++
				id := uint64(sent)
				tr.Start(id, now)
				tr.Written(id, now)
				tr.Answered(id, now)
			}
		}
		if want := 10 * limit.PerSecond; float64(sent) < 0.97*want-1 || float64(sent) > want {
			t.Errorf("%d requests in 10 s, %.0f are tolerated", sent, want)
		}
		if wait := tr.Wait(100, now); wait != 0 || tr.Pacing(now) {
			t.Errorf("a target that has become warm waits for %v", wait)
		}
	}
}

// A statement that may be older than the evidence does not end the pace.
func TestOnlyLaterStatementsEndADoubt(t *testing.T) {
	at := func(ms int) clock.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }
	warmHeartbeat := func(ms int) func(*Tracker) {
		return func(tr *Tracker) { tr.Observe(HeartbeatStatement(true, 0, at(ms)), at(ms)) }
	}
	doubt := func(ms int) func(*Tracker) { return func(tr *Tracker) { tr.Doubt(ConnectionRefused, at(ms)) } }
	check := func(sent, received, remainingMS int) func(*Tracker) {
		return func(tr *Tracker) {
			tr.Observe(Statement{Source: HealthCheck, Stated: true, Remaining: time.Duration(remainingMS) * time.Millisecond, Sent: at(sent)}, at(received))
		}
	}
	tests := []struct {
		name   string
		events []func(*Tracker)
		want   State // at 5 s, without Since
	}{
		{"daemon start", nil, State{Cold: true, Unknown: true, Evidence: DaemonStarted}},
		{"first heartbeat", []func(*Tracker){warmHeartbeat(1000)}, State{Evidence: Heartbeat}},
		{"heartbeat right after a refused connection", []func(*Tracker){warmHeartbeat(500), doubt(1000), warmHeartbeat(1100)}, State{Cold: true, Unknown: true, Evidence: ConnectionRefused}},
		{"later heartbeat", []func(*Tracker){warmHeartbeat(500), doubt(1000), warmHeartbeat(1100), warmHeartbeat(1970)}, State{Evidence: Heartbeat}},
		{"health check that was sent before", []func(*Tracker){warmHeartbeat(500), doubt(1000), check(990, 1500, 0)}, State{Cold: true, Unknown: true, Evidence: ConnectionRefused}},
		{"health check that was sent later", []func(*Tracker){warmHeartbeat(500), doubt(1000), check(1010, 1015, 0)}, State{Evidence: HealthCheck}},
		{"cold by a health check", []func(*Tracker){warmHeartbeat(500), check(1000, 1010, 9000)}, State{Cold: true, Until: at(10010), Evidence: HealthCheck}},
		{"cold by a heartbeat, then an older health check", []func(*Tracker){
			func(tr *Tracker) { tr.Observe(HeartbeatStatement(true, 9*time.Second, at(1000)), at(1000)) }, check(500, 1010, 0),
		}, State{Cold: true, Until: at(10000), Evidence: Heartbeat}},
		{"cold start that has ended", []func(*Tracker){check(1000, 1010, 2000)}, State{Until: at(3010), Evidence: HealthCheck}},
		{"new incarnation that reports at once", []func(*Tracker){warmHeartbeat(500), doubt(1000), func(tr *Tracker) { tr.Replaced(at(1050)) }, warmHeartbeat(1050)}, State{Evidence: Heartbeat}},
		{"heartbeats that state nothing", []func(*Tracker){func(tr *Tracker) { tr.Observe(HeartbeatStatement(false, 0, at(1000)), at(1000)) }}, State{Cold: true, Until: at(10000), Evidence: Heartbeat}},
	}
	for _, tt := range tests {
		tr := NewTracker(testStart)
		tr.SetLimit(testLimits[0], testStart)
		for _, e := range tt.events {
			e(tr)
		}
		got := tr.State(at(5000))
		got.Since = clock.Never
		if got != tt.want {
			t.Errorf("%s: %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// Targets that are full reset connections. If each reset paced the requests until the next
// heartbeat, an overloaded target would run a fraction of what it can.
func TestResponsesToEarlierRequestsRefuteADoubt(t *testing.T) {
	at := func(ms int) clock.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name                     string
		evidence                 Evidence
		written, doubt, answered int // ms
		wantCold                 bool
	}{
		{"request from before the doubt", ConnectionReset, 400, 500, 650, false},
		{"refused connection", ConnectionRefused, 400, 500, 650, false},
		{"response that may have been sent before the process ended", ConnectionReset, 400, 500, 550, true},
		{"request from after the doubt", ConnectionReset, 510, 500, 650, true},
		{"evacuation", EvacuationEnded, 400, 500, 650, true},
	}
	for _, tt := range tests {
		tr := NewTracker(testStart)
		tr.SetLimit(testLimits[0], testStart)
		tr.Observe(HeartbeatStatement(true, 0, at(300)), at(300))
		write := func() { tr.Start(1, at(tt.written)); tr.Written(1, at(tt.written)) }
		if tt.written < tt.doubt {
			write()
		}
		tr.Doubt(tt.evidence, at(tt.doubt-10))
		tr.Doubt(tt.evidence, at(tt.doubt))
		if tt.written > tt.doubt {
			write()
		}
		tr.Answered(1, at(tt.answered))
		if got := tr.Pacing(at(tt.answered)); got != tt.wantCold {
			t.Errorf("%s: paced %v, want %v", tt.name, got, tt.wantCold)
		}
	}
	tr := NewTracker(testStart)
	tr.SetLimit(testLimits[0], testStart)
	tr.Start(1, at(10))
	tr.Written(1, at(10))
	tr.Doubt(ConnectionReset, at(20))
	tr.Answered(1, at(300))
	if !tr.Pacing(at(300)) {
		t.Error("a doubt from before any statement is refuted")
	}
}

// A target that never responds must not keep all requests away for good, and none that was
// not written counts.
func TestUnansweredRequestsAreForgotten(t *testing.T) {
	now := testStart
	tr := NewTracker(now)
	tr.SetLimit(testLimits[0], now)
	send := func(written bool) (sent int) {
		for end := now.Add(5 * time.Second); now.Before(end); now = now.Add(5 * time.Millisecond) {
			if tr.Wait(1, now) == 0 {
				sent++
				id := uint64(now)
				tr.Start(id, now)
				if written {
					tr.Written(id, now)
				}
				tr.Ended(id, now)
			}
		}
		return sent
	}
	if got := send(true); got > 27 {
		t.Errorf("%d requests to a target that has read none of them, 27 are allowed when it reads them all", got)
	}
	now = now.Add(maxUnconfirmed)
	if got := send(true); got < 20 {
		t.Errorf("%d requests after a pause", got)
	}
	now = now.Add(maxUnconfirmed)
	if got := send(false); got < 500 {
		t.Errorf("%d requests that were not written were let through, want all", got)
	}
}

// Health checks cost as much as requests. One is due at once when the state is unknown, and
// ever less often on suspicion without ground.
func TestHealthChecksAreInfrequent(t *testing.T) {
	now := testStart
	tr := NewTracker(now)
	tr.SetLimit(testLimits[0], now)
	if !tr.CheckDue(now) {
		t.Error("none is due after the start")
	}
	tr.AwaitCheck(true) // requests that wait must not take all tokens
	if at := now.Add(80 * time.Millisecond); tr.CheckWait(at) > 0 || tr.Wait(1, at) == 0 {
		t.Errorf("a check waits for %v, a request for %v", tr.CheckWait(at), tr.Wait(1, at))
	}
	tr.AwaitCheck(false)
	tr.Observe(Statement{Source: HealthCheck, Stated: true, Sent: now}, now)
	checks := 0
	for end := now.Add(10 * time.Minute); now.Before(end); now = now.Add(50 * time.Millisecond) {
		tr.Suspect(now)
		if tr.CheckDue(now) {
			checks++
			tr.CheckSent(now)
			tr.Observe(Statement{Source: HealthCheck, Stated: true, Sent: now}, now)
		}
	}
	if checks < 15 || checks > 30 {
		t.Errorf("%d health checks in 10 minutes of suspicion, want about one in %v", checks, maxCheckInterval)
	}
	tr.SetLimit(Limit{Known: true}, now)
	tr.Doubt(ConnectionReset, now)
	if tr.CheckDue(now) || tr.Pacing(now) {
		t.Error("a service without a limit for cold targets is paced or checked")
	}
}

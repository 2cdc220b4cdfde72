package resend

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/outcome"
)

const start = clock.Time(time.Hour)

func request(keyed, idempotent bool) *Request {
	return &Request{Constraints: Constraints{Keyed: keyed, Idempotent: idempotent, MaxAttempts: 2, Arrived: start, Objective: 400 * time.Millisecond, Deadline: start.Add(time.Second)}}
}

func refused(reason outcome.Reason) Attempt {
	return Attempt{Result: outcome.Result{Kind: outcome.NotRun, Reason: reason, RetryAfter: 80 * time.Millisecond}}
}

var connectionLost = Attempt{Result: outcome.Result{Kind: outcome.Unknown, Reason: outcome.ConnectionLost}, Reached: true}

func Example() {
	r := request(false, false)
	fmt.Println(r.Next(connectionLost, start).Result.Reason)
	r = request(false, true)
	fmt.Println(r.Next(connectionLost, start).Kind == SendToAnother)
	// Output:
	// connection-lost
	// true
}

// TestUnsafeRequestsRunOnce guards against running a non-idempotent request
// twice: after an unknown outcome, for any reason, it must not be sent to another
// target.
func TestUnsafeRequestsRunOnce(t *testing.T) {
	for reason := outcome.WrongOwner; reason <= outcome.LastReason; reason++ {
		r := request(false, false)
		a := r.Next(Attempt{Result: outcome.Result{Kind: outcome.Unknown, Reason: reason}, Reached: true}, start)
		if a.Kind != Finish || a.Result.Kind != outcome.Unknown {
			t.Errorf("after unknown %v: %+v", reason, a)
		}
	}
}

// TestMayHaveRunIsNeverCalledNotRun guards against reporting NotRun for an
// idempotent request that is resent after an unknown outcome and then refused:
// the first target may have run it.
func TestMayHaveRunIsNeverCalledNotRun(t *testing.T) {
	r := request(false, true)
	if a := r.Next(connectionLost, start); a.Kind != SendToAnother || !a.Resend {
		t.Fatalf("after the first attempt: %+v", a)
	}
	if a := r.OutOfBudget(); a.Result.Kind != outcome.Unknown {
		t.Errorf("action when the budget is exhausted: %+v", a)
	}
	for range maxPlacements {
		if a := r.Next(refused(outcome.Overloaded), start); a.Kind == Finish {
			if a.Result.Kind != outcome.Unknown {
				t.Errorf("ended as %+v", a.Result)
			}
			return
		}
	}
	t.Error("the request did not finish")
}

// TestRefusalsOfDaemonsCostNoBudget checks that a refusal by a daemon, which did
// not send the request to its target, takes nothing from the retry budget.
func TestRefusalsOfDaemonsCostNoBudget(t *testing.T) {
	r := request(false, false)
	sends := 1
	a := r.Next(refused(outcome.Overloaded), start)
	for ; a.Kind == SendToAnother; a = r.Next(refused(outcome.Overloaded), start) {
		if a.Resend {
			t.Fatal("a send is counted as a resend although no target was reached")
		}
		sends++
	}
	if sends != maxPlacements || a.Result.Kind != outcome.NotRun || a.Result.RetryAfter <= 0 {
		t.Errorf("%d daemons received the request, the result is %+v", sends, a.Result)
	}
}

// TestShedByTheTargetCounts checks that a request that a target has received and
// refused counts as a resend at the next target and towards MaxAttempts.
func TestShedByTheTargetCounts(t *testing.T) {
	r := request(false, false)
	shed := refused(outcome.TargetShed)
	shed.Reached = true
	if a := r.Next(shed, start); a.Kind != SendToAnother || !a.Resend {
		t.Fatalf("after the first attempt: %+v", a)
	}
	if a := r.Next(shed, start); a.Kind != Finish || a.Result.Kind != outcome.NotRun {
		t.Errorf("after the second attempt: %+v", a)
	}
}

// TestKeyShedByItsOwnerIsSentAgain guards against callers that are refused at once by an owner
// that sheds a part of its requests at random, with free slots: no other target can run them.
func TestKeyShedByItsOwnerIsSentAgain(t *testing.T) {
	r := request(true, false)
	shed := refused(outcome.TargetShed)
	shed.Reached = true
	if a := r.Next(shed, start); a.Kind != AwaitOwner || a.Pause != 0 || !a.Resend {
		t.Fatalf("after the first attempt: %+v, want a resend from the budget", a)
	}
	if a := r.Next(shed, start); a.Kind != Finish || a.Result.Kind != outcome.NotRun {
		t.Errorf("after the second attempt: %+v", a)
	}
}

// TestKeysWithoutOwnerAreRefusedInTime guards against requests that wait too long
// for the owner of their key. They must not wait for a failed or an overloaded
// owner. For a moving key they wait a part of their objective, so that the caller
// can still retry.
func TestKeysWithoutOwnerAreRefusedInTime(t *testing.T) {
	if a := request(true, true).NoCandidate(false, start); a.Kind != Finish || a.Result.Kind != outcome.NotRun || a.Result.RetryAfter <= 0 {
		t.Errorf("action for a failed owner: %+v", a)
	}
	if a := request(true, true).Next(refused(outcome.Overloaded), start); a.Kind != Finish {
		t.Errorf("action for an overloaded owner: %+v", a)
	}
	r := request(true, true)
	now := start
	for a := r.NoCandidate(true, now); a.Kind == AwaitOwner; a = r.NoCandidate(true, now) {
		now = now.Add(a.Pause)
		if now.Sub(start) > r.Constraints.Objective {
			t.Fatal("the request waited longer than its objective")
		}
	}
	if waited := now.Sub(start); waited < r.Constraints.Objective/4 {
		t.Errorf("the request waited only %v for a moving key", waited)
	}
}

// TestBudgetHoldsOverAllDaemons checks that the resends of 11 daemons with uneven
// traffic, each of which always uses its whole budget, stay within the operator's
// limit in every window.
func TestBudgetHoldsOverAllDaemons(t *testing.T) {
	limits := Limits{Ratio: 0.2, Slack: 62, Window: 10 * time.Second}
	const daemons = 11
	budgets := make([]*Budget, daemons)
	for i := range budgets {
		budgets[i] = NewBudget(limits)
	}
	const step = 50 * time.Millisecond
	var resent, requests []int
	for at := time.Duration(0); at < 40*time.Second; at += step {
		sum, sent := 0, 0
		for i, b := range budgets {
			now := start.Add(at)
			for range i % 3 { // uneven traffic
				b.Request(now)
				sent++
			}
			for b.Spend(now, daemons) {
				sum++
			}
		}
		resent, requests = append(resent, sum), append(requests, sent)
		window := int(limits.Window / step)
		if from := len(resent) - window; from >= 0 {
			n, r := 0, 0
			for i := from; i < len(resent); i++ {
				n += resent[i]
				r += requests[i]
			}
			if allowed := limits.Ratio*float64(r) + limits.Slack; float64(n) > allowed {
				t.Fatalf("at %v: %d resends in the window, want at most %.0f", at, n, allowed)
			}
		}
	}
}

// A request that had run alone because it was in progress at crashes, and had crashed the
// next target as well, was sent to another one.
func TestRequestThatCrashedItsTargetOnTrialIsNotResent(t *testing.T) {
	r := request(false, true)
	alone := Attempt{Result: outcome.Result{Kind: outcome.Unknown, Reason: outcome.CrashSuspect}, Reached: true}
	if a := r.Next(alone, start); a.Kind != Finish || a.Result.Kind != outcome.Unknown {
		t.Errorf("action: %+v", a)
	}
}

// A bystander of a crash lost its only repeat in the next crash.
func TestTargetsThatCrashDoNotCountTowardsMaxAttempts(t *testing.T) {
	r := request(false, true)
	crashed := Attempt{Result: outcome.Result{Kind: outcome.Unknown, Reason: outcome.TargetCrashed}, Reached: true}
	for range maxPlacements - 1 {
		if a := r.Next(crashed, start); a.Kind != SendToAnother || !a.Resend {
			t.Fatalf("action after %d crashes: %+v", r.crashed, a)
		}
	}
	if a := r.Next(crashed, start); a.Kind != Finish {
		t.Errorf("action after %d crashes: %+v", r.crashed, a)
	}
}

// A quarantined request was offered to one daemon after the other.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		r := request(keyed, true)
		if a := r.Next(refused(outcome.Quarantined), start); a.Kind != Finish || a.Result.Kind != outcome.NotRun || a.Result.RetryAfter <= 0 {
			t.Errorf("keyed %v: %+v", keyed, a)
		}
	}
}

// Guards against an action after two copies of a request that either of them alone forbids, and
// against a refusal that says "not run" although the other copy may have run.
func TestNextOfTwo(t *testing.T) {
	unknown := func(reason outcome.Reason) Attempt {
		return Attempt{Result: outcome.Result{Kind: outcome.Unknown, Reason: reason}, Reached: true}
	}
	for name, tc := range map[string]struct {
		a, b Attempt
		want ActionKind
		kind outcome.Kind
	}{
		"two refusals of daemons":    {refused(outcome.Overloaded), refused(outcome.Overloaded), SendToAnother, 0},
		"two lost responses":         {connectionLost, connectionLost, Finish, outcome.Unknown},
		"lost and refused":           {connectionLost, refused(outcome.Overloaded), SendToAnother, 0},
		"deadline and refused":       {refused(outcome.Overloaded), unknown(outcome.DeadlineExceeded), Finish, outcome.Unknown},
		"crash on trial and refused": {unknown(outcome.CrashSuspect), refused(outcome.Overloaded), Finish, outcome.Unknown},
		"quarantined and refused":    {refused(outcome.Quarantined), refused(outcome.Overloaded), Finish, outcome.NotRun},
		"quarantined and lost":       {refused(outcome.Quarantined), connectionLost, Finish, outcome.Unknown},
	} {
		for _, order := range [][2]Attempt{{tc.a, tc.b}, {tc.b, tc.a}} {
			got := request(false, true).NextOfTwo(order[0], order[1], start)
			if got.Kind != tc.want || got.Result.Kind != tc.kind {
				t.Errorf("%s: %+v", name, got)
			}
		}
	}
}

// Guards against a second copy beyond MaxAttempts.
func TestTargetsLeft(t *testing.T) {
	r := request(false, true)
	if left := r.TargetsLeft(); left != 2 {
		t.Errorf("%d targets are left at first", left)
	}
	r.Next(connectionLost, start)
	if left := r.TargetsLeft(); left != 1 {
		t.Errorf("%d targets are left after one", left)
	}
	r.Next(connectionLost, start)
	if left := r.TargetsLeft(); left != 0 {
		t.Errorf("%d targets are left after two", left)
	}
}

package pipeline

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// played is a request of a replay.
type played struct {
	idempotent bool
	work       time.Duration
	closes     bool // its response closes the connection
	timeout    time.Duration

	begun, ended, written, refused clock.Time // clock.Never until then
}

// replay sends requests on one connection at one moment and plays their work in steps of a
// millisecond. It checks the rules that hold in each step, and returns whether the connection
// was closed.
func replay(t *testing.T, limits Limits, requests []*played) (closed bool) {
	t.Helper()
	q := NewQueue[int](limits)
	numbers := make([]uint64, len(requests))
	var responses []int
	next := 0
	start := clock.Time(time.Second)
	for now := start; ; now = now.Add(time.Millisecond) {
		if now.Sub(start) > time.Minute {
			t.Fatal("the connection makes no progress")
		}
		for next < len(requests) && q.MayRead() {
			r := requests[next]
			number, ok := q.Add(next, Request{Idempotent: r.idempotent, Deadline: start.Add(r.timeout)})
			if !ok {
				t.Fatal("a request that was to be read is not accepted")
			}
			numbers[next] = number
			next++
		}
		for i, number, expired, ok := q.Begin(now); ok; i, number, expired, ok = q.Begin(now) {
			r := requests[i]
			if expired {
				r.refused = now
				q.Answered(number, 0, false)
				continue
			}
			r.begun = now
			if !r.idempotent && len(responses) != i {
				t.Fatalf("request %d is begun after %d responses", i, len(responses))
			}
		}
		for i, r := range requests {
			if r.begun != clock.Never && r.ended == clock.Never && now.Sub(r.begun) >= r.work {
				r.ended = now
				q.Answered(numbers[i], 0, r.closes)
			}
		}
		batch, closes := q.Write(nil)
		for _, i := range batch {
			requests[i].written = now
		}
		responses = append(responses, batch...)
		q.Written()
		if q.Len() > limits.Requests {
			t.Fatalf("%d requests are in progress", q.Len())
		}
		if closes {
			checkClose(t, requests, responses)
			return true
		}
		if len(responses) == len(requests) {
			return false
		}
		if !slices.IsSorted(responses) {
			t.Fatalf("the responses are written in the order %v", responses)
		}
	}
}

// checkClose checks that whatever was begun was answered before the connection closed.
func checkClose(t *testing.T, requests []*played, responses []int) {
	t.Helper()
	for i, r := range requests {
		if answered := slices.Contains(responses, i); r.begun != clock.Never && !answered {
			t.Errorf("request %d was begun and has no response", i)
		}
	}
}

const ms = time.Millisecond

// A burst of five requests of 600 ms took 3 s: the fourth and fifth got 504 and 503.
func TestBurstRunsConcurrently(t *testing.T) {
	var burst []*played
	for range 5 {
		burst = append(burst, &played{idempotent: true, work: 600 * ms, timeout: time.Second})
	}
	replay(t, Limits{Requests: 8, Bytes: 1 << 20}, burst)
	for i, r := range burst {
		if took := r.written.Sub(burst[0].begun); took > 601*ms {
			t.Errorf("request %d of the burst has its response after %v", i, took)
		}
	}
}

// Requests behind a slow one must run meanwhile; only their responses wait.
func TestSlowFirstDelaysOnlyResponses(t *testing.T) {
	requests := []*played{{idempotent: true, work: 900 * ms, timeout: time.Second}}
	for range 3 {
		requests = append(requests, &played{idempotent: true, work: 50 * ms, timeout: time.Second})
	}
	replay(t, Limits{Requests: 8, Bytes: 1 << 20}, requests)
	for i, r := range requests[1:] {
		if r.ended >= requests[0].ended || r.written != requests[0].written {
			t.Errorf("request %d ended at %d and its response was written at %d", i+1, r.ended, r.written)
		}
	}
}

// A request that must not be repeated runs after everything before it, and holds up nothing
// that may run beside it.
func TestNonIdempotentInTheMiddle(t *testing.T) {
	requests := []*played{
		{idempotent: true, work: 200 * ms, timeout: time.Second},
		{work: 100 * ms, timeout: time.Second},
		{idempotent: true, work: 50 * ms, timeout: time.Second},
	}
	replay(t, Limits{Requests: 8, Bytes: 1 << 20}, requests)
	if requests[1].begun < requests[0].written || requests[2].begun != requests[0].begun || requests[2].written != requests[1].written {
		t.Errorf("begun at %d, %d and %d", requests[0].begun, requests[1].begun, requests[2].begun)
	}
}

// A caller resends whatever follows a response that closes the connection. A request that must
// not be repeated may not have been begun then, and one that has been begun is answered.
func TestClosingResponse(t *testing.T) {
	requests := []*played{
		{idempotent: true, work: 100 * ms, timeout: time.Second, closes: true},
		{idempotent: true, work: 300 * ms, timeout: time.Second},
		{work: 100 * ms, timeout: time.Second},
	}
	if !replay(t, Limits{Requests: 8, Bytes: 1 << 20}, requests) {
		t.Error("the connection stays open")
	}
	if requests[1].written == clock.Never || requests[2].begun != clock.Never {
		t.Errorf("second written at %d, third begun at %d", requests[1].written, requests[2].begun)
	}
}

// A request whose deadline passes while it waits must be refused, not run for nobody.
func TestDeadlinePassesBehindOthers(t *testing.T) {
	requests := []*played{
		{idempotent: true, work: 500 * ms, timeout: time.Second},
		{work: 100 * ms, timeout: 300 * ms},
		{work: 100 * ms, timeout: time.Second},
	}
	replay(t, Limits{Requests: 8, Bytes: 1 << 20}, requests)
	if requests[1].begun != clock.Never || requests[1].refused == clock.Never || requests[2].begun == clock.Never {
		t.Errorf("second begun at %d, refused at %d, third begun at %d", requests[1].begun, requests[1].refused, requests[2].begun)
	}
}

// The rules hold for any mix of requests, whatever their work and the limit of the window.
func TestRandomMixes(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		var requests []*played
		for range 1 + rng.IntN(12) {
			requests = append(requests, &played{
				idempotent: rng.IntN(3) > 0, work: time.Duration(rng.IntN(80)) * ms,
				closes: rng.IntN(10) == 0, timeout: time.Duration(1+rng.IntN(300)) * ms,
			})
		}
		replay(t, Limits{Requests: 1 + rng.IntN(6), Bytes: 1 << 20}, requests)
	}
}

// Large bodies and responses that wait for their turn must not add up without a bound.
func TestBytesAreBounded(t *testing.T) {
	q := NewQueue[int](Limits{Requests: 8, Bytes: 1000})
	if !q.MayHold(5000) {
		t.Error("a request alone may not have a large body")
	}
	first, _ := q.Add(0, Request{Idempotent: true, Deadline: 10, Bytes: 600})
	second, _ := q.Add(1, Request{Idempotent: true, Deadline: 10})
	q.Begin(1)
	q.Begin(1)
	if q.MayHold(500) || !q.MayHold(400) {
		t.Error("a body beside another one is not counted")
	}
	q.Answered(second, 600, false)
	if q.MayRead() {
		t.Error("a request is read beside a waiting response of the whole limit")
	}
	q.Answered(first, 0, false)
	q.Write(nil)
	q.Written()
	if !q.MayRead() || q.bytes != 0 {
		t.Errorf("%d bytes are left", q.bytes)
	}
}

// When a connection fails, each request must be left to exactly one owner: what runs to its
// goroutine, what is being written to the writer, and the rest to the caller of Fail.
func TestFail(t *testing.T) {
	q := NewQueue[int](Limits{Requests: 8, Bytes: 1000})
	var numbers []uint64
	for i := range 4 {
		n, _ := q.Add(i, Request{Idempotent: i != 3, Deadline: 10})
		numbers = append(numbers, n)
	}
	for range 3 {
		q.Begin(1)
	}
	q.Answered(numbers[0], 0, false)
	q.Answered(numbers[2], 0, false)
	q.Write(nil)
	if rest := q.Fail(nil); !slices.Equal(rest, []int{2, 3}) {
		t.Errorf("left to the caller: %v", rest)
	}
	if rest := q.Fail(nil); rest != nil {
		t.Errorf("left to the caller for a second time: %v", rest)
	}
	q.Written()
	q.Answered(numbers[1], 0, false)
	if batch, _ := q.Write(nil); batch != nil || q.MayRead() {
		t.Errorf("a failed connection goes on: %v", batch)
	}
}

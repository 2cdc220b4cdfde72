package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/route"
)

const (
	faultCallers  = 16
	faultRequests = 150 // of each caller
)

// faultyTarget answers with the URI, and at random sheds, tears, closes
// or takes long.
func faultyTarget(ctx *fasthttp.RequestCtx, ran func(uri string)) {
	uri := string(ctx.RequestURI())
	if rand.IntN(20) == 0 {
		ctx.Response.Header.Set("Parsley-Refused", "shed")
		ctx.SetStatusCode(503)
		return
	}
	ran(string(ctx.Method()) + " " + uri)
	time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
	switch rand.IntN(30) {
	case 0:
		tear(ctx)
	case 1:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	case 2:
		time.Sleep(100 * time.Millisecond)
	}
	ctx.SetBodyString(uri)
}

// faultRun is two daemons whose range moves to and fro.
type faultRun struct {
	daemons [2]*daemon
	owner   atomic.Int64 // index of the owner
	seq     atomic.Uint64

	mu   sync.Mutex
	runs map[string]int
}

func (f *faultRun) ran(call string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[call]++
}

// move hands the range to the other daemon: release, wait, grant.
func (f *faultRun) move() {
	from := f.owner.Load()
	f.daemons[from].hold(keyspace.Full(), f.seq.Load(), true)
	quiet := make(chan struct{})
	f.daemons[from].leases.Quiesce(keyspace.Full(), func() { close(quiet) })
	<-quiet
	f.daemons[from].leases.Store(nil)
	f.owner.Store(1 - from)
	f.daemons[1-from].hold(keyspace.Full(), f.seq.Add(1), false)
}

// TestPromisesUnderFaults: through moves, broken connections and faulty
// targets, with the targets' records as the judge, no request that may not be
// repeated runs twice, what is not run did not run, what is done ran once, and
// each answer is the caller's own.
func TestPromisesUnderFaults(t *testing.T) {
	f := &faultRun{runs: make(map[string]int)}
	f.seq.Store(1)
	for i := range f.daemons {
		tgt := newFakeTarget(t)
		tgt.setRun(func(ctx *fasthttp.RequestCtx) { faultyTarget(ctx, f.ran) })
		f.daemons[i] = newDaemon(t, string(rune('a'+i)), reports(), tgt.addr, nil)
	}
	f.daemons[0].hold(keyspace.Full(), 1, false)
	e := newDoor(t, sourceFunc(func() []route.Entry {
		return []route.Entry{f.daemons[f.owner.Load()].route(keyspace.Full(), f.seq.Load())}
	}), reports())

	var callers, faults sync.WaitGroup
	var stop atomic.Bool
	faults.Go(func() {
		for !stop.Load() {
			time.Sleep(time.Duration(20+rand.IntN(40)) * time.Millisecond)
			f.move()
		}
	})
	faults.Go(func() {
		for !stop.Load() {
			time.Sleep(time.Duration(10+rand.IntN(30)) * time.Millisecond)
			f.daemons[rand.IntN(2)].listener.closeConns()
		}
	})
	counts, reasons := make(map[string]int), make(map[string]int)
	var mu sync.Mutex
	for caller := range faultCallers {
		callers.Go(func() {
			for i := range faultRequests {
				method := []string{"GET", "POST"}[i%2]
				uri := fmt.Sprintf("/k%d/%d", caller, i)
				got := e.do(t, method, "/reports"+uri, nil)
				f.judge(t, method, uri, got)
				mu.Lock()
				counts[got.outcome]++
				reasons[got.outcome+" "+got.reason]++
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	stop.Store(true)
	faults.Wait()
	t.Logf("outcomes %v, %d moves", reasons, f.seq.Load())
	if counts["done"] == 0 || counts["unknown"] == 0 || counts["not-run"] == 0 {
		t.Error("the faults did not cause every outcome")
	}
}

func (f *faultRun) judge(t *testing.T, method, uri string, got reply) {
	f.mu.Lock()
	runs := f.runs[method+" "+uri]
	f.mu.Unlock()
	switch {
	case method == "POST" && runs > 1:
		t.Errorf("%s %s ran %d times (%s %s)", method, uri, runs, got.outcome, got.reason)
	case got.outcome == "not-run" && runs > 0:
		t.Errorf("%s %s ran %d times and was answered as not run (%s)", method, uri, runs, got.reason)
	case got.outcome == "done" && runs == 0:
		t.Errorf("%s %s is done and never ran", method, uri)
	case got.outcome == "done" && got.body != uri:
		t.Errorf("%s %s got the answer %q", method, uri, got.body)
	}
}

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

// faultyTarget responds with the URI, but at random sheds the request, truncates
// the response, closes the connection or responds late.
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
		sendTruncated(ctx)
	case 1:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	case 2:
		time.Sleep(100 * time.Millisecond)
	}
	ctx.SetBodyString(uri)
}

// faultTest has two owner daemons and moves the whole range between them.
type faultTest struct {
	daemons [2]*ownerDaemon
	owner   atomic.Int64 // index of the owner
	seq     atomic.Uint64

	mu   sync.Mutex
	runs map[string]int
}

func (f *faultTest) ran(call string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[call]++
}

// move transfers the range to the other daemon: it releases the grant, waits
// until no request is in flight, and grants the range to the other daemon.
func (f *faultTest) move() {
	from := f.owner.Load()
	f.daemons[from].setGrant(keyspace.Full(), f.seq.Load(), true)
	quiesced := make(chan struct{})
	f.daemons[from].leases.Quiesce(keyspace.Full(), func() { close(quiesced) })
	<-quiesced
	f.daemons[from].leases.Store(nil)
	f.owner.Store(1 - from)
	f.daemons[1-from].setGrant(keyspace.Full(), f.seq.Add(1), false)
}

// TestGuaranteesUnderFaults moves the range, closes connections and has the targets
// misbehave while 16 callers send requests, and compares each outcome with the
// runs that the targets counted. A request that may not be repeated runs at most
// once, a request reported as not run did not run, a request reported as done
// ran, and each response belongs to the caller's own request.
func TestGuaranteesUnderFaults(t *testing.T) {
	f := &faultTest{runs: make(map[string]int)}
	f.seq.Store(1)
	for i := range f.daemons {
		tgt := newFakeTarget(t)
		tgt.setRun(func(ctx *fasthttp.RequestCtx) { faultyTarget(ctx, f.ran) })
		f.daemons[i] = newOwnerDaemon(t, string(rune('a'+i)), reports(), tgt.addr, nil)
	}
	f.daemons[0].setGrant(keyspace.Full(), 1, false)
	e := newEntryDaemon(t, sourceFunc(func() []route.Entry {
		return []route.Entry{f.daemons[f.owner.Load()].routeEntry(keyspace.Full(), f.seq.Load())}
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
				got := e.send(t, method, "/reports"+uri, nil)
				f.verify(t, method, uri, got)
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

// verify compares the outcome of one request with the runs at the targets.
func (f *faultTest) verify(t *testing.T, method, uri string, got reply) {
	f.mu.Lock()
	runs := f.runs[method+" "+uri]
	f.mu.Unlock()
	switch {
	case method == "POST" && runs > 1:
		t.Errorf("%s %s ran %d times (%s %s)", method, uri, runs, got.outcome, got.reason)
	case got.outcome == "not-run" && runs > 0:
		t.Errorf("%s %s ran %d times but was reported as not run (%s)", method, uri, runs, got.reason)
	case got.outcome == "done" && runs == 0:
		t.Errorf("%s %s was reported as done but did not run", method, uri)
	case got.outcome == "done" && got.body != uri:
		t.Errorf("%s %s got the response of another request: %q", method, uri, got.body)
	}
}

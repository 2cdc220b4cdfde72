package entry_test

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/keyspace"
)

const (
	loadSlots   = 20
	loadService = 5 * time.Millisecond
	// loadInterval is the time between requests at the target's capacity.
	loadInterval = loadService / loadSlots
)

// loadRig is a target whose slots are busy for loadService a request.
type loadRig struct {
	*rig
	busy atomic.Int64 // nanoseconds, over all slots
}

func newLoadRig(b *testing.B) *loadRig {
	r := &loadRig{rig: &rig{target: newFakeTarget(b)}}
	r.target.runs = nil
	r.target.setRun(func(*fasthttp.RequestCtx) {
		begun := time.Now()
		time.Sleep(loadService)
		r.busy.Add(int64(time.Since(begun)))
	})
	spec := reports()
	spec.Slots, spec.QueueLimit, spec.Conns = loadSlots, 2*loadSlots, 130
	r.daemon = newDaemon(b, "a", spec, r.target.addr, nil)
	r.daemon.hold(keyspace.Full(), 1, false)
	r.door = newDoor(b, nil, spec)
	r.door.router.MergeEntries("reports", r.daemon.route(keyspace.Full(), 1))
	return r
}

// latencies are times from the scheduled start to the answer.
type latencies []time.Duration

func (l latencies) report(b *testing.B, name string) {
	if len(l) == 0 {
		return
	}
	slices.Sort(l)
	b.ReportMetric(float64(l[len(l)/2].Microseconds()), name+"-p50-µs")
	b.ReportMetric(float64(l[len(l)*99/100].Microseconds()), name+"-p99-µs")
}

// offer sends b.N requests on a fixed schedule and returns the latencies of
// those that were done and of the others.
func offer(b *testing.B, interval time.Duration, do func(i int) bool) (done, refused latencies) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	b.ResetTimer()
	start := time.Now()
	for i := range b.N {
		due := start.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(due))
		wg.Go(func() {
			ok := do(i)
			took := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				done = append(done, took)
			} else {
				refused = append(refused, took)
			}
		})
	}
	wg.Wait()
	return done, refused
}

func (r *loadRig) post(b *testing.B) func(i int) bool {
	return func(i int) bool {
		return r.door.do(b, "POST", "/reports/"+string(rune('a'+i%26)), nil).outcome == "done"
	}
}

// BenchmarkOverload offers twice the target's capacity and reports the share
// of its slots that is used and the latency of refusals.
func BenchmarkOverload(b *testing.B) {
	r := newLoadRig(b)
	done, refused := offer(b, loadInterval/2, r.post(b))
	elapsed := b.Elapsed()
	b.ReportMetric(100*time.Duration(r.busy.Load()).Seconds()/(loadSlots*elapsed.Seconds()), "%busy")
	b.ReportMetric(float64(len(done))/elapsed.Seconds(), "served/s")
	refused.report(b, "refusal")
}

// BenchmarkLatency offers 70% of the target's capacity, directly and through
// the path.
func BenchmarkLatency(b *testing.B) {
	const interval = loadInterval * 10 / 7
	b.Run("direct", func(b *testing.B) {
		r := newLoadRig(b)
		client := &fasthttp.HostClient{Addr: r.target.addr, MaxConns: 4096}
		done, _ := offer(b, interval, func(int) bool {
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			defer fasthttp.ReleaseRequest(req)
			defer fasthttp.ReleaseResponse(resp)
			req.Header.SetMethod("POST")
			req.SetRequestURI("http://" + r.target.addr + "/k")
			return client.Do(req, resp) == nil
		})
		done.report(b, "done")
	})
	b.Run("path", func(b *testing.B) {
		r := newLoadRig(b)
		done, refused := offer(b, interval, r.post(b))
		done.report(b, "done")
		b.ReportMetric(float64(len(refused)), "refused")
	})
}

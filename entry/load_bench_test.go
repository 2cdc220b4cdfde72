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
	loadSlots       = 20
	loadServiceTime = 5 * time.Millisecond
	// loadInterval is the time between requests that uses the target's full
	// capacity.
	loadInterval = loadServiceTime / loadSlots
)

// loadFixture has a target that occupies a slot for loadServiceTime per request.
type loadFixture struct {
	*fixture
	busy atomic.Int64 // nanoseconds, over all slots
}

func newLoadFixture(b *testing.B) *loadFixture {
	r := &loadFixture{fixture: &fixture{target: newFakeTarget(b)}}
	r.target.runs = nil
	r.target.setRun(func(*fasthttp.RequestCtx) {
		started := time.Now()
		time.Sleep(loadServiceTime)
		r.busy.Add(int64(time.Since(started)))
	})
	spec := reports()
	spec.Slots, spec.QueueLimit, spec.Conns = loadSlots, 2*loadSlots, 130
	r.daemon = newOwnerDaemon(b, "a", spec, r.target.addr, nil)
	r.daemon.setGrant(keyspace.Full(), 1, false)
	r.entry = newEntryDaemon(b, nil, spec)
	r.entry.router.MergeEntries("reports", r.daemon.routeEntry(keyspace.Full(), 1))
	return r
}

// latencies are times from the scheduled start to the response.
type latencies []time.Duration

func (l latencies) reportPercentiles(b *testing.B, name string) {
	if len(l) == 0 {
		return
	}
	slices.Sort(l)
	b.ReportMetric(float64(l[len(l)/2].Microseconds()), name+"-p50-µs")
	b.ReportMetric(float64(l[len(l)*99/100].Microseconds()), name+"-p99-µs")
}

// offerLoad sends b.N requests on a fixed schedule (open loop) and returns the
// latencies of the requests that succeeded and of the others.
func offerLoad(b *testing.B, interval time.Duration, do func(i int) bool) (done, refused latencies) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	b.ResetTimer()
	start := time.Now()
	for i := range b.N {
		due := start.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(due))
		wg.Go(func() {
			ok := do(i)
			latency := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				done = append(done, latency)
			} else {
				refused = append(refused, latency)
			}
		})
	}
	wg.Wait()
	return done, refused
}

func (r *loadFixture) post(b *testing.B) func(i int) bool {
	return func(i int) bool {
		return r.entry.send(b, "POST", "/reports/"+string(rune('a'+i%26)), nil).outcome == "done"
	}
}

// BenchmarkOverload offers twice the target's capacity and reports the
// utilization of its slots and the latency of refusals.
func BenchmarkOverload(b *testing.B) {
	r := newLoadFixture(b)
	done, refused := offerLoad(b, loadInterval/2, r.post(b))
	elapsed := b.Elapsed()
	b.ReportMetric(100*time.Duration(r.busy.Load()).Seconds()/(loadSlots*elapsed.Seconds()), "%busy")
	b.ReportMetric(float64(len(done))/elapsed.Seconds(), "served/s")
	refused.reportPercentiles(b, "refusal")
}

// BenchmarkLatency offers 70% of the target's capacity, directly and through
// entry and owner.
func BenchmarkLatency(b *testing.B) {
	const interval = loadInterval * 10 / 7
	b.Run("direct", func(b *testing.B) {
		r := newLoadFixture(b)
		client := &fasthttp.HostClient{Addr: r.target.addr, MaxConns: 4096}
		done, _ := offerLoad(b, interval, func(int) bool {
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			defer fasthttp.ReleaseRequest(req)
			defer fasthttp.ReleaseResponse(resp)
			req.Header.SetMethod("POST")
			req.SetRequestURI("http://" + r.target.addr + "/k")
			return client.Do(req, resp) == nil
		})
		done.reportPercentiles(b, "done")
	})
	b.Run("path", func(b *testing.B) {
		r := newLoadFixture(b)
		done, refused := offerLoad(b, interval, r.post(b))
		done.reportPercentiles(b, "done")
		b.ReportMetric(float64(len(refused)), "refused")
	})
}

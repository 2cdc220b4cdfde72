package entry_test

import (
	"bytes"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/parsleystack/parsleystack/keyspace"
)

const (
	benchResponseSize = 1 << 10 // bytes
	benchCallers      = 16      // per processor
)

// BenchmarkDirect calls the target directly. It is the baseline of BenchmarkPath.
func BenchmarkDirect(b *testing.B) {
	r := newBenchFixture(b)
	client := &fasthttp.HostClient{Addr: r.target.addr, MaxConns: 4096}
	benchCalls(b, client, "http://"+r.target.addr+"/house-")
}

// BenchmarkPath calls the target through entry and owner. Callers, both daemons
// and the target run in one process, so its CPU time is the cost of the whole
// path.
func BenchmarkPath(b *testing.B) {
	r := newBenchFixture(b)
	benchCalls(b, r.entry.client, "http://"+r.entry.addr+"/reports/house-")
}

func newBenchFixture(b *testing.B) *fixture {
	r := &fixture{target: newFakeTarget(b)}
	spec := reports()
	spec.Slots, spec.QueueLimit, spec.Conns = 4096, 4096, 4096
	r.entry = newEntryDaemon(b, nil, spec)
	r.daemon = newOwnerDaemon(b, "a", spec, r.target.addr, nil)
	r.daemon.setGrant(keyspace.Full(), 1, false)
	r.entry.router.MergeEntries("reports", r.daemon.routeEntry(keyspace.Full(), 1))
	r.target.runs = nil
	body := bytes.Repeat([]byte("x"), benchResponseSize)
	r.target.setRun(func(ctx *fasthttp.RequestCtx) { ctx.Response.SetBodyRaw(body) })
	return r
}

func benchCalls(b *testing.B, client *fasthttp.HostClient, uri string) {
	b.SetParallelism(benchCallers)
	b.ReportAllocs()
	var next atomic.Uint64
	var failed atomic.Int64
	b.ResetTimer()
	before := cpuTime(b)
	b.RunParallel(func(pb *testing.PB) {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		for pb.Next() {
			req.SetRequestURI(uri + strconv.FormatUint(next.Add(1)%1000, 10))
			if err := client.Do(req, resp); err != nil || resp.StatusCode() != 200 {
				failed.Add(1)
			}
		}
	})
	used := cpuTime(b) - before
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-µs/op")
	if n := failed.Load(); n > 0 {
		b.Errorf("%d of %d requests failed", n, b.N)
	}
}

func cpuTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// testFleet is a fleet in which daemon 0 of service s0 hears the others.
type testFleet struct {
	d     *Directory
	names []string
	seq   uint64

	services, size int
}

func newTestFleet(services, size int) *testFleet {
	f := &testFleet{d: NewDirectory(), services: services, size: size}
	for s := range services {
		for i := range size {
			if s+i > 0 {
				f.names = append(f.names, fmt.Sprintf("s%d-%d", s, i))
			}
		}
	}
	return f
}

// interval returns the time between a daemon's statuses to daemon 0.
func (f *testFleet) interval(name string) time.Duration {
	if serviceOf(name) == "s0" {
		return Interval(f.size-1, true)
	}
	return Interval((f.services-1)*f.size, false)
}

func serviceOf(name string) string { return name[:2] }

// hear takes a status of a daemon.
func (f *testFleet) hear(name string, now clock.Time, quiet ...string) {
	f.seq++
	every := f.interval(name)
	m := Member{Instance: name, Addr: "127.0.0.1:1", Service: serviceOf(name), Incarnation: 1, Revision: 1, State: TargetReady}
	f.d.Hear(&Status{Seq: f.seq, Member: m, Quiet: quiet, EveryMS: uint32(every.Milliseconds())}, now)
}

func (f *testFleet) silent(now clock.Time) []string {
	w := f.d.NewWatch("s0", now)
	var list []string
	for _, p := range f.d.Peers() {
		if w.Silent(p) {
			list = append(list, p.Member.Instance)
		}
	}
	return list
}

// Statuses that come when they are due keep each daemon heard, however large
// the fleet is.
func TestFleetsOfAnySizeStayHeard(t *testing.T) {
	for _, size := range []int{1, 4, 24, 35, 100, 300} {
		f := newTestFleet(3, size)
		start := clock.Time(time.Hour)
		due := make(map[string]clock.Time)
		for now := start; now < start.Add(60*time.Second); now = now.Add(50 * time.Millisecond) {
			for _, name := range f.names {
				if now < due[name] {
					continue
				}
				f.hear(name, now)
				due[name] = now.Add(f.interval(name) * 11 / 10)
			}
			if list := f.silent(now); len(list) > 0 {
				t.Fatalf("3 services of %d: %v after %v without a lost status", size, list, now.Sub(start))
			}
		}
	}
}

// The load of statuses on one daemon is bounded, whatever the size.
func TestStatusesASecondAreBounded(t *testing.T) {
	for _, size := range []int{1, 10, 100, 1000, 14000} {
		for _, own := range []bool{true, false} {
			limit := otherPerS
			if own {
				limit = ownPerS
			}
			if rate := float64(size) / Interval(size, own).Seconds(); rate > float64(limit) {
				t.Errorf("%d daemons get %.0f statuses a second, %d wanted", size, rate, limit)
			}
		}
	}
}

// In a large fleet, the own service of a lost daemon finds out first and tells
// the others, which need not wait for several intervals.
func TestALossIsReportedAcrossServices(t *testing.T) {
	f := newTestFleet(3, 60)
	start := clock.Time(time.Hour)
	for _, name := range f.names {
		f.hear(name, start)
	}
	later := start.Add(SilentAfter + 300*time.Millisecond)
	if list := f.silent(later); len(list) > 0 {
		t.Fatalf("%v are silent before a report", list)
	}
	tell := func(n int) {
		for i := 1; i <= n; i++ {
			f.hear(fmt.Sprintf("s1-%d", i), later, "s1-0", "s2-0")
		}
	}
	tell(29)
	if list := f.silent(later); len(list) > 0 {
		t.Fatalf("29 of 59 reports suffice for %v", list)
	}
	tell(30)
	if list := f.silent(later); len(list) != 1 || list[0] != "s1-0" {
		t.Fatalf("30 of 59 report s1-0 silent, got %v", list)
	}
	f.hear("s1-0", later.Add(time.Millisecond))
	if list := f.silent(later.Add(2 * time.Millisecond)); len(list) > 0 {
		t.Fatalf("%v are silent although heard since the reports", list)
	}
}

// A daemon that is cut off from its service does not make the others count its
// whole service as silent.
func TestOneCutOffDaemonIsNotBelieved(t *testing.T) {
	f := newTestFleet(2, 60)
	start := clock.Time(time.Hour)
	var all []string
	for _, name := range f.names {
		f.hear(name, start)
		if name != "s1-0" && serviceOf(name) == "s1" {
			all = append(all, name)
		}
	}
	later := start.Add(SilentAfter + 200*time.Millisecond)
	f.hear("s1-0", later, all...)
	if list := f.silent(later); len(list) > 0 {
		t.Errorf("one report makes %d daemons silent", len(list))
	}
}

// Within its own service a daemon relies on what it hears itself.
func TestOwnServiceIsJudgedFirstHand(t *testing.T) {
	f := newTestFleet(1, 61)
	start := clock.Time(time.Hour)
	for _, name := range f.names {
		f.hear(name, start)
	}
	later := start.Add(SilentAfter + 200*time.Millisecond)
	for _, name := range f.names[1:] {
		f.hear(name, later, f.names[0])
	}
	if list := f.silent(later); len(list) > 0 {
		t.Errorf("%v are silent by report", list)
	}
	if !f.d.NewWatch(ident.Service("s0"), start.Add(10*time.Second)).Silent(f.d.Peer(ident.Instance(f.names[0]))) {
		t.Error("a daemon that was not heard for 10 s is not silent")
	}
}

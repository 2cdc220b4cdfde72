package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// testFleet is a fleet in which daemon 0 of service s0 receives the statuses of
// all others.
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
		return StatusInterval(f.size-1, true)
	}
	return StatusInterval((f.services-1)*f.size, false)
}

func serviceOf(name string) string { return name[:2] }

// receive processes a status of the named daemon that reports suspects.
func (f *testFleet) receive(name string, now clock.Time, suspects ...string) {
	f.seq++
	interval := f.interval(name)
	m := Member{Instance: name, Addr: "127.0.0.1:1", Service: serviceOf(name), Incarnation: 1, Revision: 1, State: TargetReady}
	f.d.ApplyStatus(&Status{Seq: f.seq, Member: m, Suspects: suspects, IntervalMS: uint32(interval.Milliseconds())}, now)
}

func (f *testFleet) suspected(now clock.Time) []string {
	detector := f.d.NewFailureDetector("s0", now)
	var list []string
	for _, p := range f.d.Peers() {
		if detector.Suspected(p) {
			list = append(list, p.Member.Instance)
		}
	}
	return list
}

// In a fleet of any size, no daemon may be suspected while all statuses arrive
// on time, give or take a tenth of the interval.
func TestNoFalseSuspicionInFleetsOfAnySize(t *testing.T) {
	for _, size := range []int{1, 4, 24, 35, 100, 300} {
		f := newTestFleet(3, size)
		start := clock.Time(time.Hour)
		due := make(map[string]clock.Time)
		for now := start; now < start.Add(60*time.Second); now = now.Add(50 * time.Millisecond) {
			for _, name := range f.names {
				if now < due[name] {
					continue
				}
				f.receive(name, now)
				due[name] = now.Add(f.interval(name) * 11 / 10)
			}
			if list := f.suspected(now); len(list) > 0 {
				t.Fatalf("3 services of %d: %v suspected after %v without a lost status", size, list, now.Sub(start))
			}
		}
	}
}

// The rate of statuses per daemon must be bounded in a fleet of any size.
func TestStatusesASecondAreBounded(t *testing.T) {
	for _, size := range []int{1, 10, 100, 1000, 14000} {
		for _, own := range []bool{true, false} {
			limit := otherServicesStatusesPerS
			if own {
				limit = ownServiceStatusesPerS
			}
			if rate := float64(size) / StatusInterval(size, own).Seconds(); rate > float64(limit) {
				t.Errorf("%d daemons get %.0f statuses per second, want at most %d", size, rate, limit)
			}
		}
	}
}

// In a large fleet, a failed daemon is first suspected in its own service. The
// reports of that service must make it suspected in other services too, without
// a wait for several of its longer status intervals there.
func TestALossIsReportedAcrossServices(t *testing.T) {
	f := newTestFleet(3, 60)
	start := clock.Time(time.Hour)
	for _, name := range f.names {
		f.receive(name, start)
	}
	later := start.Add(SuspectTimeout + 300*time.Millisecond)
	if list := f.suspected(later); len(list) > 0 {
		t.Fatalf("%v are suspected before any report", list)
	}
	report := func(n int) {
		for i := 1; i <= n; i++ {
			f.receive(fmt.Sprintf("s1-%d", i), later, "s1-0", "s2-0")
		}
	}
	report(29)
	if list := f.suspected(later); len(list) > 0 {
		t.Fatalf("%v are suspected after 29 of 59 reports, want a majority", list)
	}
	report(30)
	if list := f.suspected(later); len(list) != 1 || list[0] != "s1-0" {
		t.Fatalf("30 of 59 daemons report s1-0; suspected are %v", list)
	}
	f.receive("s1-0", later.Add(time.Millisecond))
	if list := f.suspected(later.Add(2 * time.Millisecond)); len(list) > 0 {
		t.Fatalf("%v are suspected despite a status after the reports", list)
	}
}

// A daemon that is cut off from its service reports all of it. That single
// report must not make daemons of other services suspect any of them.
func TestOneReportCausesNoSuspicion(t *testing.T) {
	f := newTestFleet(2, 60)
	start := clock.Time(time.Hour)
	var all []string
	for _, name := range f.names {
		f.receive(name, start)
		if name != "s1-0" && serviceOf(name) == "s1" {
			all = append(all, name)
		}
	}
	later := start.Add(SuspectTimeout + 200*time.Millisecond)
	f.receive("s1-0", later, all...)
	if list := f.suspected(later); len(list) > 0 {
		t.Errorf("%d daemons are suspected after one report", len(list))
	}
}

// Within its own service, a daemon must ignore reports and rely on the statuses
// that it receives itself.
func TestReportsWithinOwnServiceAreIgnored(t *testing.T) {
	f := newTestFleet(1, 61)
	start := clock.Time(time.Hour)
	for _, name := range f.names {
		f.receive(name, start)
	}
	later := start.Add(SuspectTimeout + 200*time.Millisecond)
	for _, name := range f.names[1:] {
		f.receive(name, later, f.names[0])
	}
	if list := f.suspected(later); len(list) > 0 {
		t.Errorf("%v are suspected because of reports", list)
	}
	if !f.d.NewFailureDetector(ident.Service("s0"), start.Add(10*time.Second)).Suspected(f.d.Peer(ident.Instance(f.names[0]))) {
		t.Error("a daemon without a status for 10 s is not suspected")
	}
}

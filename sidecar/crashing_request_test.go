package sidecar

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/admin"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ownertable"
	"github.com/parsleystack/parsleystack/platform/platformtest"
	"github.com/parsleystack/parsleystack/quarantine"
	"github.com/parsleystack/parsleystack/wire"
)

// crashLoad is a load on all daemons of a deployment in which some requests crash the
// targets that run them.
type crashLoad struct {
	d        *deployment
	crash    *platformtest.Crash
	stop     chan struct{}
	callers  sync.WaitGroup
	mu       sync.Mutex
	requests []crashLoadRequest
	restarts map[int]time.Time // by entry, the end of its last restart
}

// crashLoadRequest is a request of a caller that crashes no target.
type crashLoadRequest struct {
	sent, ended time.Time
	idempotent  bool
	status      int
}

const (
	// crashWindow is the time after the third crash from which on retries of the request
	// are counted.
	crashWindow = 3 * time.Second
	// allowedRetries is the number of retries that may reach targets after crashWindow.
	allowedRetries = 3
	// deadlyInterval is the time between two copies of a deadly request.
	deadlyInterval = 150 * time.Millisecond
	// callerRetries and callerRetryPause are the retries of idempotent requests by their
	// callers, after any failure.
	callerRetries    = 3
	callerRetryPause = 250 * time.Millisecond
	// keyedCallerRetries last for 4 s, within which a key is to be served again after the
	// loss of its owner. Nobody else may serve it before the owner's hold ends.
	keyedCallerRetries = 16
	listPrefix         = "/list/"
	// crashLoadPause is the time between two requests of a caller. Several of these loads run
	// at a time with the race detector.
	crashLoadPause = 80 * time.Millisecond
)

// deployForCrashes starts two targets of a service that is divided by key and four of
// another one, all of which crash under deadly requests.
func deployForCrashes(t *testing.T, crash *platformtest.Crash) *deployment {
	t.Helper()
	d := deployWith(t, func(n *testNode) {
		n.target.Crash, n.target.ProcessingTime = crash, 30*time.Millisecond
	}, keyedService, keyedService, plainService, plainService, plainService, plainService)
	d.configureRoutes(platformtest.Route{Prefix: listPrefix, Idempotent: true, Service: plainService})
	d.awaitServing()
	for _, n := range d.nodes {
		eventually(t, "the added route is served", func() bool {
			return n.call(http.MethodGet, listPrefix+"a", newID(), platformtest.NoKey).Status == http.StatusOK
		})
	}
	return d
}

// startCrashLoad starts callers at each daemon.
func startCrashLoad(d *deployment, crash *platformtest.Crash) *crashLoad {
	l := &crashLoad{d: d, crash: crash, stop: make(chan struct{}), restarts: make(map[int]time.Time)}
	for _, n := range d.nodes {
		l.callers.Go(func() { l.send(n, http.MethodGet, "/view/a-", true) })
		l.callers.Go(func() { l.send(n, http.MethodGet, listPrefix+"a-", false) })
		l.callers.Go(func() { l.send(n, http.MethodPost, "/book/a-", false) })
	}
	return l
}

// send sends requests of different contents until the load ends.
func (l *crashLoad) send(n *testNode, method, path string, keyed bool) {
	for !l.stopped(crashLoadPause) {
		r := crashLoadRequest{sent: time.Now(), idempotent: method == http.MethodGet}
		key, retries := platformtest.NoKey, callerRetries
		if keyed {
			key, retries = rand.IntN(1<<16), keyedCallerRetries
		}
		id := newID()
		r.status = n.call(method, path+id, id, key).Status
		for range retries {
			if !r.idempotent || r.status == http.StatusOK || l.stopped(callerRetryPause) {
				break
			}
			r.status = n.call(method, path+id, newID(), key).Status
		}
		r.ended = time.Now()
		l.mu.Lock()
		l.requests = append(l.requests, r)
		l.mu.Unlock()
	}
}

// stopped waits for a time and reports whether the load has ended.
func (l *crashLoad) stopped(pause time.Duration) bool {
	select {
	case <-l.stop:
		return true
	case <-time.After(pause):
		return false
	}
}

// sendDeadly sends copies of a deadly request through one daemon after the other until the
// load ends.
func (l *crashLoad) sendDeadly(path string, key int) {
	l.sendDeadlyEvery(deadlyInterval, func(n *testNode) { n.call(http.MethodGet, path, newID(), key) })
}

// sendDeadlyAndLeave is sendDeadly for callers that leave after a time. The next copy is sent
// after a pause, in which the target has crashed and started again.
func (l *crashLoad) sendDeadlyAndLeave(path string, after, pause time.Duration) {
	l.sendDeadlyEvery(pause, func(n *testNode) {
		request := head(http.MethodGet, path, platformtest.DeadlineHeader+": 2000\r\n")
		_ = platformtest.LeavingCall(n.settings.CallerAddr, request, after) // an error means that it crashed nothing
	})
}

func (l *crashLoad) sendDeadlyEvery(pause time.Duration, send func(*testNode)) {
	l.callers.Go(func() {
		for i := 0; !l.stopped(pause); i++ {
			n := l.d.nodes[i%len(l.d.nodes)]
			l.callers.Go(func() { send(n) })
		}
	})
}

// awaitThirdCrash waits until a deadly request has crashed three targets or is refused by all
// daemons.
func (l *crashLoad) awaitThirdCrash(t *testing.T, path string) {
	t.Helper()
	refused := func(n *testNode) bool {
		c := quarantine.Content{Method: []byte(http.MethodGet), Host: []byte(host), URI: []byte(path)}
		for _, f := range n.daemon.suspects.Load().Quarantined() {
			if f.Head == c.Head() {
				return true
			}
		}
		return false
	}
	eventually(t, path+" has crashed three targets, or is refused", func() bool {
		crashes := 0
		for _, e := range l.crash.Ends() {
			if e.Path == path {
				crashes++
			}
		}
		return crashes >= 3 || !slices.ContainsFunc(l.d.nodes, func(n *testNode) bool { return !refused(n) })
	})
}

func (l *crashLoad) finish() {
	close(l.stop)
	l.callers.Wait()
}

// checkRetries checks that a deadly request reached targets at most allowedRetries times later
// than crashWindow after its third crash.
func (l *crashLoad) checkRetries(t *testing.T, path string) (third time.Time) {
	t.Helper()
	var ends []platformtest.End
	for _, e := range l.crash.Ends() {
		if e.Path == path {
			ends = append(ends, e)
		}
	}
	if len(ends) == 0 {
		t.Errorf("%s has crashed no target, so nothing was tested", path)
		return time.Now()
	}
	third = ends[min(len(ends), 3)-1].At // a request that is stopped earlier needs no third one
	retries := 0
	for _, r := range l.d.records.Runs() {
		if r.URI == path && r.Began.After(third.Add(crashWindow)) {
			retries++
		}
	}
	t.Logf("%s has crashed %d targets", path, len(ends))
	if retries > allowedRetries {
		t.Errorf("%s was sent to targets %d times later than %v after its third crash, %d allowed; it has crashed %d", path, retries, crashWindow, allowedRetries, len(ends))
	}
	return third
}

// checkServed checks that a share of the other requests was served, of those sent from a
// time on.
func (l *crashLoad) checkServed(t *testing.T, what string, from time.Time, share float64, counts func(*crashLoadRequest) bool) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	served, all := 0, 0
	for i := range l.requests {
		if r := &l.requests[i]; r.sent.After(from) && counts(r) {
			all++
			if r.status == http.StatusOK {
				served++
			}
		}
	}
	t.Logf("%s: %d of %d served", what, served, all)
	if all == 0 || float64(served) < share*float64(all) {
		t.Errorf("%s: %d of %d served, want at least %.0f%%", what, served, all, 100*share)
	}
}

func anyRequest(*crashLoadRequest) bool { return true }

// inProgressAtCrash returns whether an idempotent request was in progress when a target
// crashed.
func (l *crashLoad) inProgressAtCrash() func(*crashLoadRequest) bool {
	ends := l.crash.Ends()
	return func(r *crashLoadRequest) bool {
		for _, e := range ends {
			if r.idempotent && r.sent.Before(e.At) && r.ended.After(e.At) {
				return true
			}
		}
		return false
	}
}

// A request that crashed each target that ran it was sent to targets for as long as it came,
// and took the service away from all other callers.
func TestRequestThatCrashesTargetsStopsAndOthersAreServed(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		path  string
		key   int
		after time.Duration
	}{
		{"without a key", listPrefix + platformtest.CrashPrefix + "1", platformtest.NoKey, 20 * time.Millisecond},
		{"with a key", "/view/" + platformtest.CrashPrefix + "1", 4711, 20 * time.Millisecond},
		{"that runs for long", listPrefix + platformtest.CrashPrefix + "1", platformtest.NoKey, 400 * time.Millisecond},
		{"at once", listPrefix + platformtest.CrashPrefix + "1", platformtest.NoKey, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			crash := &platformtest.Crash{After: tt.after, Downtime: 1500 * time.Millisecond}
			d := deployForCrashes(t, crash)
			l := startCrashLoad(d, crash)
			l.sendDeadly(tt.path, tt.key)
			l.awaitThirdCrash(t, tt.path)
			time.Sleep(crashWindow + 3*time.Second)
			l.finish()
			third := l.checkRetries(t, tt.path)
			l.checkServed(t, "requests later than the window", third.Add(crashWindow), 0.99, anyRequest)
			l.checkServed(t, "idempotent requests in progress at a crash", time.Time{}, 0.9, l.inProgressAtCrash())
		})
	}
}

// A restarted daemon sent a request again that had crashed three targets before.
func TestRequestThatCrashesTargetsStaysStoppedAfterRestarts(t *testing.T) {
	t.Parallel()
	restarts := map[string]func(*testing.T, *deployment){
		"one after the other": func(t *testing.T, d *deployment) {
			for _, n := range d.nodes {
				n.stop()
				<-n.done
				n.start(t)
			}
		},
		"all at once": func(t *testing.T, d *deployment) {
			for _, n := range d.nodes {
				n.stop()
			}
			for _, n := range d.nodes {
				<-n.done
			}
			for _, n := range d.nodes {
				n.start(t)
			}
		},
		"while the store is away": func(t *testing.T, d *deployment) {
			d.store.SetFault(platformtest.Unavailable)
			for _, n := range d.nodes[2:4] {
				n.stop()
				<-n.done
				n.start(t)
			}
			time.Sleep(time.Second)
			d.store.SetFault(platformtest.NoFault)
		},
	}
	const path = listPrefix + platformtest.CrashPrefix + "1"
	for name, restart := range restarts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			crash := &platformtest.Crash{After: 20 * time.Millisecond, Downtime: 1500 * time.Millisecond}
			d := deployForCrashes(t, crash)
			l := startCrashLoad(d, crash)
			l.sendDeadly(path, platformtest.NoKey)
			l.awaitThirdCrash(t, path)
			time.Sleep(2 * time.Second)
			restart(t, d)
			time.Sleep(8 * time.Second)
			l.finish()
			l.checkRetries(t, path)
		})
	}
}

// Requests of one content that run everywhere were suspected when all targets crashed for
// another reason.
func TestFrequentRequestIsServedAfterCrashesOfOtherCauses(t *testing.T) {
	t.Parallel()
	crash := &platformtest.Crash{Downtime: 500 * time.Millisecond}
	d := deployForCrashes(t, crash)
	l := startCrashLoad(d, crash)
	const hot = listPrefix + "hot"
	var mu sync.Mutex
	var served, all int
	var counting bool
	for _, n := range d.nodes {
		for range 2 {
			l.callers.Go(func() {
				for !l.stopped(5 * time.Millisecond) {
					status := n.call(http.MethodGet, hot, newID(), platformtest.NoKey).Status
					mu.Lock()
					if counting {
						all++
						if status == http.StatusOK {
							served++
						}
					}
					mu.Unlock()
				}
			})
		}
	}
	for range 4 {
		time.Sleep(time.Second)
		for _, n := range d.nodes[2:5] {
			n.target.Interrupt()
		}
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	counting = true
	mu.Unlock()
	time.Sleep(3 * time.Second)
	l.finish()
	if all == 0 || float64(served) < 0.99*float64(all) {
		t.Errorf("%d of %d requests of one content were served after the crashes", served, all)
	}
}

// Several deadly requests came at the same time, of which some targets survived one.
func TestSeveralRequestsThatCrashTargetsStop(t *testing.T) {
	t.Parallel()
	crash := &platformtest.Crash{After: 30 * time.Millisecond, Downtime: time.Second}
	d := deployForCrashes(t, crash)
	l := startCrashLoad(d, crash)
	var paths []string
	for i := range 3 {
		paths = append(paths, fmt.Sprintf("%s%s%d", listPrefix, platformtest.CrashPrefix, i))
		l.sendDeadly(paths[i], platformtest.NoKey)
	}
	for _, path := range paths {
		l.awaitThirdCrash(t, path)
	}
	time.Sleep(crashWindow + 3*time.Second)
	l.finish()
	last := time.Time{}
	for _, path := range paths {
		if third := l.checkRetries(t, path); third.After(last) {
			last = third
		}
	}
	l.checkServed(t, "requests later than the window", last.Add(crashWindow), 0.99, anyRequest)
}

// A quarantined request could not be let through again after the service was mended.
func TestReleasedRequestIsServedByAMendedService(t *testing.T) {
	t.Parallel()
	var mended atomic.Bool
	crash := &platformtest.Crash{After: 20 * time.Millisecond, Downtime: 500 * time.Millisecond, Survives: mended.Load}
	d := deployForCrashes(t, crash)
	l := startCrashLoad(d, crash)
	const path = listPrefix + platformtest.CrashPrefix + "1"
	l.sendDeadly(path, platformtest.NoKey)
	quarantined := func(n *testNode) bool { return len(n.daemon.suspects.Load().Quarantined()) == 1 }
	for _, n := range d.nodes {
		eventually(t, "the request is quarantined at all daemons, also of other services", func() bool { return quarantined(n) })
	}
	mended.Store(true)
	f := d.nodes[0].daemon.suspects.Load().Quarantined()[0].String()
	o := &operator{d.nodes[4].daemon}
	if _, err := o.Release(t.Context(), &admin.ReleaseRequest{Fingerprint: "12"}); err == nil {
		t.Error("a malformed fingerprint is accepted")
	}
	if _, err := (&operator{d.nodes[0].daemon}).Release(t.Context(), &admin.ReleaseRequest{Fingerprint: f}); err == nil {
		t.Error("a daemon of another service accepts the command")
	}
	if s, err := o.Status(t.Context()); err != nil || !strings.Contains(strings.Join(s.Warnings, "\n"), f) {
		t.Errorf("status does not warn of the request: %v, %v", s, err)
	}
	if _, err := o.Release(t.Context(), &admin.ReleaseRequest{Fingerprint: f}); err != nil {
		t.Fatal(err)
	}
	for _, n := range d.nodes {
		eventually(t, "the request is served at all daemons", func() bool {
			return n.call(http.MethodGet, path, newID(), platformtest.NoKey).Status == http.StatusOK
		})
	}
	l.finish()
}

// A request whose caller had left half a second before the crash was never suspected, though
// its target went on with it: it crashed a target each time it came.
func TestRequestThatCrashesTargetsAfterItsCallerLeftStops(t *testing.T) {
	t.Parallel()
	const path = listPrefix + platformtest.CrashPrefix + "1"
	crash := &platformtest.Crash{After: time.Second, Downtime: 500 * time.Millisecond}
	d := deployForCrashes(t, crash)
	l := startCrashLoad(d, crash)
	l.sendDeadlyAndLeave(path, 200*time.Millisecond, 2*time.Second)
	l.awaitThirdCrash(t, path)
	time.Sleep(crashWindow + 5*2*time.Second) // for more copies than may be sent to targets
	l.finish()
	l.checkRetries(t, path)
}

// A target may go on with a request until the deadline that it was given, whatever ended the
// request for its daemon.
func TestRequestIsSuspectedUntilItsDeadline(t *testing.T) {
	run := func(id string, deadline time.Duration) *targetRequest {
		r := &targetRequest{req: &wire.Request{RequestID: []byte(id), URI: []byte("/" + id)}}
		r.item.Deadline = clock.Time(1).Add(deadline)
		return r
	}
	at := func(d time.Duration) clock.Time { return clock.Time(1).Add(d) }
	for name, c := range map[string]struct {
		after clock.Time
		want  []string
	}{
		"observed at once":        {at(1500 * time.Millisecond), []string{"long", "running"}},
		"seen by the next target": {clock.Never, []string{"long", "running", "short"}},
	} {
		runs := newRunTracker(ownertable.Target{ID: "t"})
		over, short, long, running := run("over", 300*time.Millisecond), run("short", time.Second), run("long", 2500*time.Millisecond), run("running", 9*time.Second)
		for _, r := range []*targetRequest{over, short, long, running} {
			runs.begin(r)
		}
		runs.lost(over)
		runs.lost(short)
		runs.lost(long)
		runs.alive(at(600 * time.Millisecond)) // so it has not crashed before
		suspects, ok := runs.crash(c.after)
		var got []string
		for _, s := range suspects {
			got = append(got, s.requestID)
		}
		slices.Sort(got)
		if !ok || !slices.Equal(got, c.want) {
			t.Errorf("%s: suspects %v, want %v", name, got, c.want)
		}
	}
}

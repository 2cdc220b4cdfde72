package sidecarsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

const (
	// maxDeadlyTime and maxDeadlyPause are the longest time for which copies of a deadly
	// request come, and the longest time between two such series.
	maxDeadlyTime  = 20 * time.Second
	maxDeadlyPause = 6 * time.Second
	// deadlySeries is the number of deadly requests that may come at a time.
	deadlySeries = 2
	// maxDeadlyInterval is the longest time between two copies.
	maxDeadlyInterval = 500 * time.Millisecond
	// maxCrashDelay is the longest work of a target on a deadly request before it crashes.
	maxCrashDelay = 400 * time.Millisecond
	// crashesAllowed and retriesAllowed bound a deadly request: the targets that it crashes,
	// and its runs later than stableWindow after the last of these.
	crashesAllowed = 3
	retriesAllowed = 3
)

// deadly sends requests that crash the targets that run them, of each service and kind.
type deadly struct {
	callers *callers
	random  *rand.Rand
	log     io.Writer
	start   time.Time
	number  int
}

// run sends series of copies of deadly requests, one after the other, until ctx ends.
func (x *deadly) run(ctx context.Context, series int) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(x.random.Int64N(int64(maxDeadlyPause))))
		x.number++
		path, method, key := "/view/", http.MethodGet, x.random.IntN(1<<16)
		switch x.random.IntN(4) {
		case 0:
			path, method, key = "/book/", http.MethodPost, platformtest.NoKey
		case 1, 2:
			path, key = platformtest.LargePrefix, platformtest.NoKey
		}
		path += fmt.Sprintf("%s%d-%d-%d", platformtest.CrashPrefix, series, x.number, x.random.Int64N(maxCrashDelay.Milliseconds()))
		_, _ = fmt.Fprintf(x.log, "%7.2f deadly request %s %s\n", time.Since(x.start).Seconds(), method, path)
		x.send(ctx, method, path, key, time.Duration(x.random.Int64N(int64(maxDeadlyTime))))
	}
}

// send sends copies of a request through random daemons for a time.
func (x *deadly) send(ctx context.Context, method, path string, key int, length time.Duration) {
	var copies sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; {
		daemon := x.random.IntN(len(x.callers.d.instances))
		copies.Go(func() { x.callers.send(daemon, method, path, key, 0) })
		pause(ctx, time.Duration(x.random.Int64N(int64(maxDeadlyInterval))))
	}
	copies.Wait()
}

// deadlyRun is one run of a deadly request.
type deadlyRun struct {
	platformtest.Run
	ends time.Time // when it crashed its target, if no other request did before
}

// checkDeadly checks that no deadly request was sent to targets again and again by entries
// that were in touch.
func (j *judge) checkDeadly(runs []platformtest.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	byPath := make(map[string][]deadlyRun)
	firstEnd := make(map[string]deadlyRun) // by incarnation of the target
	for _, r := range runs {
		delay, ok := platformtest.CrashDelay(r.URI)
		if !ok {
			continue
		}
		x := deadlyRun{Run: r, ends: r.Began.Add(delay)}
		byPath[r.URI] = append(byPath[r.URI], x)
		if first, ok := firstEnd[r.Target]; !ok || x.ends.Before(first.ends) {
			firstEnd[r.Target] = x
		}
	}
	for _, path := range sortedKeys(byPath) {
		all, crashes := byPath[path], []time.Time(nil)
		for _, r := range all { // sorted by the time at which they began, as their ends are
			if firstEnd[r.Target].RequestID == r.RequestID {
				crashes = append(crashes, r.ends)
			}
		}
		j.counts["deadly requests"]++
		j.counts["crashes by them"] += len(crashes)
		if len(crashes) < crashesAllowed {
			continue
		}
		retries := 0
		for _, r := range all {
			if o := j.answers[r.RequestID]; r.Began.After(crashes[crashesAllowed-1].Add(stableWindow)) && o.sent.After(j.disturbedBefore(o.daemon, o.sent).Add(stableWindow)) {
				retries++
			}
		}
		if retries > retriesAllowed {
			j.violateLocked("BUDGET", "%s ran %d times later than %v after its third crash; it crashed %d targets", path, retries, stableWindow, len(crashes))
		}
	}
}

// isDeadly reports whether a request may crash its target.
func isDeadly(path string) bool { return strings.Contains(path, platformtest.CrashPrefix) }

package sidecarsoak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// maxAdded is the number of added routes that a version has at most.
const maxAdded = 4

// operator publishes configurations.
type operator struct {
	store   *platformtest.Store
	history *history
	callers *callers
	random  *rand.Rand
}

// publish writes the next version: usually one route more, and sometimes one less. No
// route comes back once it was removed.
func (o *operator) publish() {
	next := version{number: 1}
	if len(o.history.versions) > 0 {
		last := o.history.newest()
		next = version{number: last.number + 1 + o.random.IntN(3), added: slices.Clone(last.added)}
		if len(next.added) >= maxAdded || len(next.added) > 0 && o.random.IntN(3) == 0 {
			i := o.random.IntN(len(next.added))
			next.added = slices.Delete(next.added, i, i+1)
		} else {
			next.added = append(next.added, int(o.callers.routes.Load())+1)
		}
	}
	routes := []platformtest.Route{{Prefix: "/view/", Idempotent: true, Service: keyedService}, {Prefix: "/book/", Service: bookingService}, {Prefix: "/pay/", Service: paymentService}, {Prefix: claimPrefix, Service: keyedService}, {Prefix: platformtest.LargePrefix, Kind: "download", Service: paymentService}}
	for _, route := range next.added {
		routes = append(routes, platformtest.Route{Prefix: prefix(route), Service: bookingService})
	}
	next.sent = time.Now()
	o.history.append(next)
	if n := len(next.added); n > 0 && next.added[n-1] > int(o.callers.routes.Load()) {
		o.callers.routes.Store(int64(next.added[n-1]))
	}
	o.store.Configure(next.number, host, routes, keyedService)
	o.history.confirmLast(time.Now())
}

// series publishes several versions, with pauses of up to the given time.
func (o *operator) series(n int, longest time.Duration) {
	for range n {
		o.publish()
		time.Sleep(rand.N(longest))
	}
}

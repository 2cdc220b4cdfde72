package sidecarsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

const (
	requestPause = 60 * time.Millisecond  // of a caller, between two requests
	probePause   = 120 * time.Millisecond // between two requests for added or removed routes
	probedRoutes = 6                      // newest added routes that are probed
	claimPrefix  = "/claim/"              // of non-idempotent requests with a key
	// maxFields is the largest number of header fields of a request. They fit in the
	// smallest limit of configurations.
	maxFields = 3000
)

// callers sends requests over open connections, as the callers beside each target do.
type callers struct {
	d      *deployment
	judge  *judge
	lastID atomic.Int64
	routes atomic.Int64 // number of the newest added route
}

// run sends requests through one daemon until ctx ends.
func (c *callers) run(ctx context.Context, daemon int, random *rand.Rand) {
	for kind := 0; ctx.Err() == nil; kind = (kind + 1) % 4 {
		switch kind {
		case 0:
			c.send(daemon, http.MethodGet, "/view/a", random.IntN(1<<16), 0)
		case 1:
			c.send(daemon, http.MethodPost, "/book/a", platformtest.NoKey, 0)
		case 2:
			c.send(daemon, http.MethodPost, "/pay/a", platformtest.NoKey, 0)
		case 3:
			c.send(daemon, http.MethodGet, platformtest.LargePrefix+"a", platformtest.NoKey, 0)
		}
		pause(ctx, requestPause)
		c.send(daemon, http.MethodPost, claimPrefix+"a", random.IntN(1<<16), 0)
		pause(ctx, requestPause)
		if random.IntN(fieldsOneOf) == 0 {
			c.sendFields(daemon, 1+random.IntN(maxFields))
		}
	}
}

// fieldsOneOf is the number of a caller's rounds of which one has a request with many header
// fields.
const fieldsOneOf = 10

// sendFields sends a request with many header fields. Only its status is judged.
func (c *callers) sendFields(daemon, fields int) {
	id := fmt.Sprintf("req-%d", c.lastID.Add(1))
	o := observation{daemon: daemon, id: id, path: "/book/a", unsafe: true, sent: time.Now()}
	request := platformtest.Head(host, http.MethodPost, o.path, id, platformtest.DeadlineHeader+": 2000\r\nContent-Length: 0\r\n"+strings.Repeat("a: b\r\n", fields))
	o.answer.Status, _, o.answer.Err = platformtest.RawCall(c.d.instances[daemon].addr(callerPort), request)
	o.answer.Body, o.answer.Signed = platformtest.AnswerBody(o.path, id), true
	o.ended = time.Now()
	c.judge.observe(o)
}

// probe sends requests on routes that were just added or removed.
func (c *callers) probe(ctx context.Context, daemon int, random *rand.Rand) {
	for ctx.Err() == nil {
		if newest := int(c.routes.Load()); newest > 0 {
			route := max(newest-random.IntN(probedRoutes), 1)
			c.send(daemon, http.MethodPost, prefix(route)+"a", platformtest.NoKey, route)
		}
		pause(ctx, probePause)
	}
}

func (c *callers) send(daemon int, method, path string, key, route int) {
	id := fmt.Sprintf("req-%d", c.lastID.Add(1))
	o := observation{daemon: daemon, id: id, path: path, unsafe: method == http.MethodPost, route: route, sent: time.Now()}
	o.answer = platformtest.Call(c.d.instances[daemon].addr(callerPort), host, method, path, id, key)
	o.ended = time.Now()
	c.judge.observe(o)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

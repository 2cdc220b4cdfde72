package sidecar

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
	"github.com/parsleystack/parsleystack/wire"
)

// As many header fields as fit in the largest head can be sent over a link.
var _ [wire.MaxHeaders - maxCallerHeader/len("a:\r\n")]struct{}

// A request with more than 128 header fields made the target's daemon close the link, and
// the requests of all other callers on it were broken off.
func TestRequestWithManyHeaderFieldsIsServedBesideOthers(t *testing.T) {
	t.Parallel()
	d := deployWith(t, func(n *testNode) { n.target.ProcessingTime = 300 * time.Millisecond }, plainService, plainService)
	for _, n := range d.nodes {
		n.awaitUnkeyedServing(t)
	}
	for _, fields := range []int{20, 140, 4000} {
		var calls sync.WaitGroup
		for range 8 { // on both targets, since each one runs 8
			calls.Go(func() {
				if a := d.nodes[0].call(http.MethodPost, "/book/a", newID(), platformtest.NoKey); a.Status != http.StatusOK {
					t.Errorf("beside requests with %d header fields: HTTP status %d, error %v", fields, a.Status, a.Err)
				}
			})
		}
		time.Sleep(100 * time.Millisecond) // they run
		for range 4 {
			calls.Go(func() {
				if status, _ := d.nodes[0].rawCall(t, head(http.MethodPost, "/book/a", strings.Repeat("a: b\r\n", fields))); status != http.StatusOK {
					t.Errorf("a request with %d header fields: HTTP status %d", fields, status)
				}
			})
		}
		calls.Wait()
	}
}

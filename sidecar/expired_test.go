package sidecar

import (
	"fmt"
	"testing"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// A call whose parent's deadline has passed states that no time is left. It got 400 for a
// value below zero, and ran with the default timeout for zero.
func TestNoTimeLeftIsNotRun(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService)
	n := d.nodes[0]
	n.awaitUnkeyedServing(t)
	for _, left := range []string{"0", "-3", "-0.25"} {
		id := newID()
		status, _ := n.rawCall(t, platformtest.Head(host, "GET", "/book/a", id, fmt.Sprintf("%s: %s\r\n", platformtest.DeadlineHeader, left)))
		if runs := d.records.ByRequest(id); status != 503 || len(runs) != 0 {
			t.Errorf("%s ms left: status %d and %d runs, want 503 and none", left, status, len(runs))
		}
	}
}

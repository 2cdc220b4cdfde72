package sidecar

import (
	"net/http"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// Notices with a blank or a line feed in the name of a field took effect. Here they announce that the target
// leaves.
func TestMalformedNoticeOfATargetIsIgnored(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService)
	n := d.nodes[0]
	n.awaitUnkeyedServing(t)
	notice := func(lines string) int {
		status, _, err := platformtest.RawCall(n.settings.ControlAddr, platformtest.Head("h", http.MethodDelete, platformtest.InstancesPath+n.target.ID, newID(), lines))
		if err != nil {
			t.Fatal(err)
		}
		return status
	}
	for _, lines := range []string{"Na me: x\r\n", "Content -Length: 0\r\n", " Name: x\r\n", "Name : x\r\n", "\nName: x\r\n", "Name: x\n", "Na\nme: x\r\n"} {
		if status := notice(lines); status != http.StatusBadRequest {
			t.Errorf("%q: status %d, want 400", lines, status)
		}
		time.Sleep(n.settings.HeartbeatInterval)
		if a := n.call(http.MethodPost, "/book/a", newID(), platformtest.NoKey); a.Status != http.StatusOK {
			t.Errorf("after %q: %+v", lines, a)
		}
	}
	if status := notice("Name: x\r\n"); status >= http.StatusBadRequest {
		t.Errorf("a proper notice: status %d", status)
	}
}

package sidecar

import (
	"testing"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// HTTP/1.1 lets callers send the absolute form of a target to what they take for a proxy,
// and a host with its port or final dot. Such requests got 404.
func TestFormsOfTargetAndHost(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService)
	n := d.nodes[0]
	n.awaitUnkeyedServing(t)
	for _, c := range []struct{ target, host, uri string }{
		{"http://" + host + "/book/a?b=%2F", host, "/book/a?b=%2F"},
		{"HTTP://SHOP.example:80/book/a", "other.example", "/book/a"},
		{"/book/a", host + ":8304", "/book/a"},
		{"/book/a", host + ".", "/book/a"},
		{"/book/a", "SHOP.example.:8304", "/book/a"},
		{"/book/a%2Fb/http://x/", host, "/book/a%2Fb/http://x/"},
	} {
		id := newID()
		status, _ := n.rawCall(t, platformtest.Head(c.host, "GET", c.target, id, platformtest.DeadlineHeader+": 2000\r\n"))
		runs := d.records.ByRequest(id)
		if status != 200 || len(runs) != 1 || runs[0].URI != c.uri {
			t.Errorf("%s at %s: status %d, runs %+v, want one of %s", c.target, c.host, status, runs, c.uri)
		}
	}
}

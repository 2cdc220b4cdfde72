package sidecar

import (
	"net/http"
	"testing"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// Requests with a blank or a line feed in the name of a field were passed on to the target, those
// with "Content -Length" or a line feed before "Content-Length" without their bodies.
func TestMalformedRequestIsNotPassedOn(t *testing.T) {
	t.Parallel()
	d, target := deployScripted(t)
	for _, lines := range []string{
		"Na me: x\r\nContent-Length: 0\r\n", "Name : x\r\nContent-Length: 0\r\n", " Name: x\r\n", "Content -Length: 5\r\n", "Content-Length : 5\r\n", "Na\x00me: x\r\n", "Na\x01me: x\r\n", "Shard Key: 5\r\n",
		"Transfer-Encoding: chunked\r\n\r\n0\r\nX Sum: 1\r\n",
		"\nContent-Length: 5\r\n", "\nName: x\r\nContent-Length: 5\r\n", "Na\nme: x\r\n", "Content-Length: 5\r\n\nName: x\r\n", "Content-Length: 5\n", "Content-Length: 0\r\n\n",
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\nX-Sum: 1\r\n", "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Sum: 1\n", "Transfer-Encoding: chunked\r\n\n0\r\n",
	} {
		for _, n := range d.nodes {
			id := newID()
			if status, _ := n.rawCall(t, platformtest.Head(host, http.MethodPost, "/book/a", id, lines)+"whole"); status != http.StatusBadRequest || target.requests(id) != 0 {
				t.Errorf("%q: status %d, received %d times; want 400, not received", lines, status, target.requests(id))
			}
		}
	}
}

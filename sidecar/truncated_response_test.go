package sidecar

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// A target that stopped in the middle of its response's head, or of the body, must not be
// taken for one that sent a whole response: its caller is told that the outcome is unknown,
// on the target's own instance and over a link.
func TestCallersGetNoResponseThatEndsEarly(t *testing.T) {
	t.Parallel()
	s := new(platformtest.Truncating)
	d := deployWith(t, func(n *testNode) {
		if n.settings.Service == plainService {
			n.target.ListenAddr = fmt.Sprintf("%s:%d", n.settings.IP, 7007)
			if err := s.Listen(n.settings.TargetAddr); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(s.Close)
		}
	}, plainService, keyedService)
	s.SetBytes(1 << 20)
	for _, n := range d.nodes {
		n.awaitUnkeyedServing(t)
	}
	for bytes := 0; ; bytes++ {
		id := newID()
		s.SetBytes(bytes)
		a := d.nodes[bytes%2].call(http.MethodPost, "/book/a", id, platformtest.NoKey)
		if bytes >= len(s.Response(id)) {
			if a.Status != http.StatusOK || a.Body != "whole" {
				t.Errorf("a whole response: %+v", a)
			}
			break
		}
		if a.Status != http.StatusBadGateway || a.Signed {
			t.Errorf("after %d of %d bytes the caller gets %+v", bytes, len(s.Response(id)), a)
		}
	}
}

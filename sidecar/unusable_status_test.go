package sidecar

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// A response with the status 000 reached the caller as 200, one with 600 or 999 as it was, and
// after 001 or 099 the daemon waited for another one until the deadline.
func TestResponseWithUnusableStatusIsNotPassedOn(t *testing.T) {
	t.Parallel()
	d, target := deployScripted(t)
	for _, status := range []string{"000", "001", "099", "600", "999", "20", "2000", "abc", "-12", ""} {
		for _, n := range d.nodes { // over a link, and at the target's own instance
			target.set(strings.Replace(signedAnswer, "200", status, 1))
			before := target.connections()
			id, started := newID(), time.Now()
			a := n.call(http.MethodPost, "/book/a", id, platformtest.NoKey)
			if a.Status != http.StatusBadGateway || a.Signed || target.requests(id) != 1 || time.Since(started) > time.Second {
				t.Errorf("status %q: %+v after %v, received %d times; want 502 at once, received once", status, a, time.Since(started), target.requests(id))
			}
			target.set(signedAnswer)
			if a := n.call(http.MethodPost, "/book/a", newID(), platformtest.NoKey); a.Status != http.StatusOK || target.connections() == before {
				t.Errorf("after status %q: %+v, reused its connection: %t", status, a, target.connections() == before)
			}
		}
	}
	if m := d.nodes[1].metrics(t); !strings.Contains(m, "parsley_target_statuses_unusable_total 20\n") {
		t.Error("the metric does not count 20 responses with an unusable status")
	}
	if d.nodes[1].daemon.backend.load().FailureRatio == 0 {
		t.Error("the failures do not count against the target")
	}
	for _, answer := range []string{"HTTP/1.1 100 x\r\n\r\n" + signedAnswer, "HTTP/1.1 103 x\r\nLink: a\r\n\r\n" + signedAnswer} {
		target.set(answer)
		if a := d.nodes[0].call(http.MethodPost, "/book/a", newID(), platformtest.NoKey); a.Status != http.StatusOK || a.Body != "whole" {
			t.Errorf("%.12q before the response: %+v, want 200", answer, a)
		}
	}
	for _, status := range []int{200, 299, 404, 599} {
		target.set(strings.Replace(signedAnswer, "200", strconv.Itoa(status), 1))
		if a := d.nodes[0].call(http.MethodPost, "/book/a", newID(), platformtest.NoKey); a.Status != status {
			t.Errorf("status %d: %+v", status, a)
		}
	}
}

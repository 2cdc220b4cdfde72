package sidecar

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/platform/platformtest"
	"github.com/parsleystack/parsleystack/wire"
)

// A 4xx of a target that it did not sign, or that refuses the request, must not reach the
// caller as such: callers never retry it.
func TestUnsignedStatusOfATargetIsNotPassedOn(t *testing.T) {
	t.Parallel()
	for status := 300; status < 500; status++ {
		for header, want := range map[string]outcome.Kind{
			"X": outcome.Unknown, platformtest.NotRunHeader: outcome.NotRun, platformtest.StampHeader: outcome.Done,
		} {
			if status == 421 {
				want = outcome.NotRun
			}
			r := &targetRequest{resp: new(wire.Response)}
			r.httpResp.SetStatusCode(status)
			r.httpResp.Header.Set(header, "1")
			r.handleResponse()
			if r.resp.Kind != want || want == outcome.Done && int(r.resp.Status) != status {
				t.Errorf("status %d with %s: %v, status %d, want %v", status, header, r.resp.Kind, r.resp.Status, want)
			}
		}
	}
}

// A target that refuses a request may name the time after which it can be asked again. Its
// callers must not come back before.
func TestRetryAfterOfATargetReachesTheCaller(t *testing.T) {
	t.Parallel()
	for value, want := range map[string]time.Duration{
		"": retryRefused, "2": 2 * time.Second, "0.25": 250 * time.Millisecond, "0": retryRefused, "-1": retryRefused, "NaN": retryRefused,
		"soon": retryRefused, "1e300": time.Minute,
	} {
		r := &targetRequest{resp: new(wire.Response)}
		r.httpResp.SetStatusCode(503)
		r.httpResp.Header.Set(platformtest.NotRunHeader, "1")
		r.httpResp.Header.Set("Retry-After", value)
		r.handleResponse()
		if r.resp.Kind != outcome.NotRun || r.resp.RetryAfter != want {
			t.Errorf("%q: retry after %v, want %v", value, r.resp.RetryAfter, want)
		}
	}
}

// Whatever a daemon reports of a request that was not completed, its caller gets a 5xx.
func TestIncompleteRequestsAreNeverRejected(t *testing.T) {
	t.Parallel()
	for reason := range outcome.LastReason + 2 {
		for _, kind := range []outcome.Kind{0, outcome.NotRun, outcome.Unknown, 9} {
			if got := httpStatus(outcome.Result{Kind: kind, Reason: reason}); got < 502 || got > 504 {
				t.Errorf("%v, %v: status %d", kind, reason, got)
			}
		}
	}
}

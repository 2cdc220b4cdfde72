package sidecar

import (
	"context"
	"errors"
	"testing"

	"github.com/parsleystack/parsleystack/callerhttp"
)

// The caller closes its connection after its request was parsed and before the first
// attempt. The check for abandoned requests sees the request by then, so aborting it
// must work before it is served.
func TestEndBeforeServe(t *testing.T) {
	f := newCallerRequest(nil, new(callerhttp.Exchange))
	f.abort(errCallerDisconnected)
	if cause := context.Cause(f.ctx); !errors.Is(cause, errCallerDisconnected) {
		t.Errorf("cause %v", cause)
	}
}

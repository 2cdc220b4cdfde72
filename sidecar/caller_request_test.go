package sidecar

import (
	"context"
	"errors"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestEndBeforeServe lets the caller leave between the reading of a request and
// the first attempt, when the watch already knows the request.
func TestEndBeforeServe(t *testing.T) {
	f := newFlight(nil, new(fasthttp.RequestCtx))
	f.end(errCallerLeft)
	if cause := context.Cause(f.ctx); !errors.Is(cause, errCallerLeft) {
		t.Errorf("cause %v", cause)
	}
}

package sidecar

import (
	"context"
	"testing"

	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/ownertable"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/wire"
)

// A response of another daemon without an outcome, or with one of a later version, counted as
// one to a request that had not run, which was sent to another target. One with the status 0
// reached the caller as 200.
func TestResponseOfADaemonThatCannotBeUsedIsUnknown(t *testing.T) {
	for _, resp := range []wire.Response{
		{}, {Kind: 9}, {Kind: outcome.Done}, {Kind: outcome.Done, Status: 199}, {Kind: outcome.Done, Status: 600}, {Kind: outcome.Done, Status: 65535},
	} {
		f := &callerRequest{ctx: context.Background(), resp: resp}
		if a := f.attemptResult(); a.Result.Kind != outcome.Unknown || !a.Reached {
			t.Errorf("kind %v, status %d: %+v, want an unknown outcome", resp.Kind, resp.Status, a)
		}
	}
	for _, resp := range []wire.Response{{Kind: outcome.Done, Status: 200}, {Kind: outcome.Done, Status: 599}, {Kind: outcome.NotRun}, {Kind: outcome.Unknown}} {
		f := &callerRequest{ctx: context.Background(), resp: resp}
		if a := f.attemptResult(); a.Result.Kind != resp.Kind {
			t.Errorf("kind %v, status %d: %+v", resp.Kind, resp.Status, a)
		}
	}
}

// A response to a request that its daemon had not admitted states no load, but was taken for
// one of an idle target without slots.
func TestResponseWithoutLoadDoesNotReplaceTheLoad(t *testing.T) {
	var l targetLoad
	l.observeResponse(&wire.Response{InFlight: 7, Capacity: 18})
	l.inFlight.Add(1) // a request is sent
	l.observeResponse(&wire.Response{})
	if inFlight, limit := l.inFlight.Load(), l.limit.Load(); inFlight != 7 || limit != 18 {
		t.Errorf("%d requests in flight of %d, want 7 of 18", inFlight, limit)
	}
}

// A first heartbeat with the number 0 counted as an old one, since no number had been
// received.
func TestFirstHeartbeatMayHaveTheNumberZero(t *testing.T) {
	c := &control{}
	c.self.TargetID, c.self.TargetStartMS = "t", 5 // from the record of an earlier process
	hb := &platform.Heartbeat{Target: ownertable.Target{ID: "t", StartTime: 5}}
	if !c.isNewer(hb) {
		t.Error("a first heartbeat with the number 0 is ignored")
	}
	c.heartbeats.heard = true
	if c.isNewer(hb) {
		t.Error("a copy of it counts as new")
	}
}

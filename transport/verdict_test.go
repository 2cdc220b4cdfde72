package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/wire"
)

var errExpired, errLeft = errors.New("expired"), errors.New("caller has left")

// refusing answers a request when it is canceled.
type refusing struct{ echo }

func (*refusing) ServeRequest(e *Exchange) {
	at := make(chan time.Time, 1)
	e.OnCancel(cancelTime{at})
	<-at
	e.OnCancel(nil)
	_ = e.Respond(&wire.Response{Kind: outcome.NotRun, Reason: outcome.Canceled})
}

// A request that was canceled counted as one that may have run, although its peer knew that it
// had not. The wait for what the peer knows is bounded, and nobody waits for a caller that has
// left.
func TestVerdictOnACanceledRequest(t *testing.T) {
	const wait, patience = 100 * time.Millisecond, 5 * time.Second
	for _, class := range []bool{false, true} { // of large responses
		for name, c := range map[string]struct {
			handler  Handler
			cause    error
			wait     time.Duration
			answered bool
			least    time.Duration
		}{
			"peer answers":     {new(refusing), errExpired, patience, true, 0},
			"peer is silent":   {&echo{gate: make(chan struct{})}, errExpired, wait, false, wait},
			"caller has left":  {&echo{gate: make(chan struct{})}, errLeft, patience, false, 0},
			"no wait is asked": {new(refusing), errExpired, 0, false, 0},
		} {
			_, addr := startHandler(t, c.handler, nil)
			p := newTestPool(t, func(cfg *Config) {
				cfg.VerdictWait = func(cause error) time.Duration {
					if errors.Is(cause, errExpired) {
						return c.wait
					}
					return 0
				}
			})
			ctx, cancel := context.WithCancelCause(t.Context())
			canceled := make(chan time.Time, 1)
			time.AfterFunc(50*time.Millisecond, func() { canceled <- time.Now(); cancel(c.cause) })
			var resp wire.Response
			sent, err := p.Do(ctx, addr, &wire.Request{URI: []byte("/wait"), LargeResponse: class}, &resp)
			took := time.Since(<-canceled)
			if !sent || c.answered != (err == nil) || c.answered && resp.Kind != outcome.NotRun || !c.answered && !errors.Is(err, c.cause) {
				t.Errorf("%s: sent %t, error %v, kind %v", name, sent, err, resp.Kind)
			}
			if took < c.least || took > c.least+patience/2 {
				t.Errorf("%s: ended %v after the cancellation, want %v", name, took, c.least)
			}
			resp.Release()
			if e, ok := c.handler.(*echo); ok {
				close(e.gate)
			}
		}
	}
}

// A request that was canceled while it was queued behind a stalled write was sent after that,
// and counted as one that may have run.
func TestCanceledRequestBehindAStalledWriteIsWithdrawn(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	cfg := Config{}.withDefaults()
	c := newClientConn("x", ClassRequest, local, wire.NewReader(local, 1<<10), &cfg, new(Counters))
	go c.run()
	go func() { _, _, _ = c.roundTrip(t.Context(), wire.KindRequest, wire.KindResponse, &wire.Request{}) }()
	one := make([]byte, 1)
	_, _ = remote.Read(one) // blocks until the first frame is being written
	ctx, cancel := context.WithCancelCause(t.Context())
	time.AfterFunc(50*time.Millisecond, func() { cancel(errLeft) })
	if _, sent, err := c.roundTrip(ctx, wire.KindRequest, wire.KindResponse, &wire.Request{Body: []byte("x")}); sent || !errors.Is(err, errLeft) {
		t.Errorf("sent %t, error %v; want a request that was not sent", sent, err)
	}
	go func() { _, _, _ = c.roundTrip(t.Context(), wire.KindRequest, wire.KindResponse, &wire.Request{}) }()
	r := wire.NewReader(io.MultiReader(bytes.NewReader(one), remote), 1<<10)
	for id, want := range []wire.Kind{wire.KindRequest, wire.KindCancel, wire.KindRequest} {
		if f, err := r.Next(); err != nil || f.Kind != want || f.ID != uint64(id+1) {
			t.Errorf("frame %d: %v with id %d, error %v; want %v", id+1, f.Kind, f.ID, err, want)
		}
	}
}

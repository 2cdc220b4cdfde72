package transport

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/egress"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/wire"
)

// sized answers each request with a response of the size of its Timeout field in bytes.
type sized struct{ echo }

func (h *sized) ServeRequest(e *Exchange) {
	_ = e.Respond(&wire.Response{Kind: outcome.Done, Status: 200, Body: bytes.Repeat([]byte("x"), int(e.Request.Timeout))})
}

// startSized starts a server whose link sends a large response of 100 KB in 80 ms.
func startSized(t *testing.T) (*Server, string, *Pool) {
	t.Helper()
	link := egress.NewLink(1.25e6)
	s, addr := startHandler(t, &sized{}, func(c *Config) { c.Egress = link })
	return s, addr, newTestPool(t, nil)
}

func fetch(ctx context.Context, t *testing.T, p *Pool, addr string, size int) error {
	var resp wire.Response
	defer resp.Release()
	_, err := p.Do(ctx, addr, &wire.Request{Timeout: time.Duration(size), LargeResponse: size > 64<<10}, &resp)
	if err == nil && len(resp.Body) != size {
		t.Errorf("a response has %d bytes, want %d", len(resp.Body), size)
	}
	return err
}

// Small responses were written behind all large ones that were ready before them, and
// calls with short deadlines failed. They must pass them, on a link that is busy for
// more than a second.
func TestSmallResponsesPassLargeOnes(t *testing.T) {
	_, addr, p := startSized(t)
	ctx := ctxFor(t, 20*time.Second)
	if err := fetch(ctx, t, p, addr, 100_000); err != nil { // opens the connection
		t.Fatal(err)
	}
	large := make(chan error, 15)
	for range cap(large) {
		go func() { large <- fetch(ctx, t, p, addr, 100_000) }()
	}
	if err := <-large; err != nil { // all others are queued
		t.Fatal(err)
	}
	for range 10 {
		if err := fetch(ctx, t, p, addr, 100); err != nil {
			t.Fatal(err)
		}
	}
	if done := len(large); done > cap(large)-3 {
		t.Errorf("%d large responses arrived before ten small ones", done)
	}
	for range cap(large) - 1 {
		if err := <-large; err != nil {
			t.Error(err)
		}
	}
}

// A large response whose caller has left must not take the link from the others.
func TestCanceledLargeResponsesAreNotSent(t *testing.T) {
	s, addr, p := startSized(t)
	ctx := ctxFor(t, 20*time.Second)
	canceled, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for range 12 {
		wg.Go(func() { _ = fetch(canceled, t, p, addr, 100_000) }) // most are canceled
	}
	time.Sleep(50 * time.Millisecond) // until the responses are queued
	cancel()
	wg.Wait()
	if err := fetch(ctx, t, p, addr, 100_000); err != nil {
		t.Fatal(err)
	}
	if sent := s.Counters().BytesOut[ClassBulk].Load(); sent > 500_000 {
		t.Errorf("%d bytes were sent, most of them for callers who have left", sent)
	}
}

package transport

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/egress"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/recvlimit"
	"github.com/parsleystack/parsleystack/wire"
)

// keeping answers each request with its body, in memory that it keeps until the response
// releases it.
type keeping struct {
	echo
	held atomic.Int64 // responses that were not released
}

func (h *keeping) ServeRequest(e *Exchange) {
	body := bytes.Clone(e.Request.Body)
	resp := wire.Response{Kind: outcome.Done, Status: 200, Body: body, BodyKept: true}
	h.held.Add(1)
	resp.OnRelease(func() { clear(body); h.held.Add(-1) })
	_ = e.Respond(&resp)
	resp.Release()
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 10 s", what)
		}
	}
}

// Bodies that are sent without a copy must arrive unchanged, and their memory must be released
// once, whether they are written, withdrawn or lost with the connection.
func TestBodiesWithoutCopies(t *testing.T) {
	h, memory := new(keeping), recvlimit.NewPool(64<<20)
	_, addr := startHandler(t, h, func(c *Config) { c.Egress, c.Memory = egress.NewLink(25e6), memory })
	p := newTestPool(t, func(c *Config) { c.Egress, c.Memory = egress.NewLink(25e6), memory })
	var all sync.WaitGroup
	for i := range 24 {
		all.Go(func() {
			body := bytes.Repeat([]byte{byte(i + 1)}, minBulkBody+i*20_000)
			var resp wire.Response
			_, err := p.Do(ctxFor(t, time.Duration(1+i%3)*200*time.Millisecond), addr, &wire.Request{Body: body, BodyKept: true}, &resp)
			if err == nil && !bytes.Equal(resp.Body, body) {
				t.Error("a body was changed")
			}
			resp.Release()
		})
	}
	all.Wait()
	p.Close()
	eventually(t, "all memory is released", func() bool { return h.held.Load() == 0 && memory.Held() == 0 })
}

// A request for which the receiver has no memory must be refused as not run, and the connection
// must carry the next one.
func TestRequestsWithoutRoomAreRefused(t *testing.T) {
	memory := recvlimit.NewPool(1 << 20)
	s, addr := startHandler(t, &echo{}, func(c *Config) { c.Memory = memory })
	p := newTestPool(t, nil)
	var resp wire.Response
	for range 3 {
		if _, err := p.Do(ctxFor(t, 5*time.Second), addr, &wire.Request{Body: make([]byte, 2<<20)}, &resp); err != nil || resp.Kind != outcome.NotRun || resp.Reason != outcome.Overloaded {
			t.Errorf("%v, %v, error %v", resp.Kind, resp.Reason, err)
		}
		resp.Release()
	}
	if _, err := p.Do(ctxFor(t, 5*time.Second), addr, &wire.Request{Body: make([]byte, 100<<10)}, &resp); err != nil || resp.Kind != outcome.Done {
		t.Errorf("%v, %v, error %v", resp.Kind, resp.Reason, err)
	}
	resp.Release()
	if n := memory.Stats(recvlimit.Daemon).Refused; n != 3 || s.Counters().BadConns.Load() != 0 {
		t.Errorf("%d refused, want 3; %d connections closed", n, s.Counters().BadConns.Load())
	}
}

// A response for which there is no memory has an unknown outcome, and others on the connection
// are received.
func TestResponsesWithoutRoomAreLostAlone(t *testing.T) {
	_, addr := startHandler(t, &echo{}, nil)
	memory := recvlimit.NewPool(1 << 20)
	p := newTestPool(t, func(c *Config) { c.Memory = memory })
	var resp wire.Response
	var noRoom *recvlimit.BudgetError
	if sent, err := p.Do(ctxFor(t, 5*time.Second), addr, &wire.Request{Body: make([]byte, 2<<20)}, &resp); !errors.As(err, &noRoom) || !sent {
		t.Errorf("sent %v, error %v", sent, err)
	}
	if _, err := p.Do(ctxFor(t, 5*time.Second), addr, &wire.Request{Body: make([]byte, 100<<10)}, &resp); err != nil || resp.Kind != outcome.Done {
		t.Errorf("%v, error %v", resp.Kind, err)
	}
	resp.Release()
}

// Connections beyond the limit must be closed, so that their buffers and descriptors are bounded.
func TestConnectionsAreLimited(t *testing.T) {
	s, addr := startHandler(t, &echo{}, func(c *Config) { c.MaxConns = 4 })
	for range 10 {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() }) // the server may have closed it
	}
	eventually(t, "six are refused", func() bool { return s.Counters().RefusedConns.Load() == 6 })
}

// Connections that never complete their handshake must not keep other daemons out.
func TestSilentConnectionsGiveWay(t *testing.T) {
	const limit = 4
	_, addr := startHandler(t, &echo{}, func(c *Config) { c.MaxConns, c.HandshakeTimeout = limit, time.Minute })
	for range 3 * limit {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() }) // the server may have closed it
	}
	p := newTestPool(t, nil)
	var resp wire.Response
	if _, err := p.Do(ctxFor(t, 5*time.Second), addr, &wire.Request{Body: []byte("a")}, &resp); err != nil || string(resp.Body) != "a" {
		t.Errorf("response %q, error %v", resp.Body, err)
	}
	resp.Release()
}

// Memory for a response that is expected to be large is taken before the request is sent, so
// that a request that was run does not lose its response for want of it.
func TestMemoryForResponsesIsTakenInAdvance(t *testing.T) {
	h := new(keeping)
	_, addr := startHandler(t, h, nil)
	memory := recvlimit.NewPool(1 << 20)
	p := newTestPool(t, func(c *Config) { c.Memory = memory })
	var resp, second wire.Response
	request := wire.Request{Body: make([]byte, 500<<10), BodyKept: true, ResponseBytes: 500 << 10}
	if _, err := p.Do(ctxFor(t, 5*time.Second), addr, &request, &resp); err != nil {
		t.Fatal(err)
	}
	var noRoom *recvlimit.BudgetError
	if sent, err := p.Do(ctxFor(t, 5*time.Second), addr, &request, &second); !errors.As(err, &noRoom) || sent {
		t.Errorf("sent %v, error %v", sent, err)
	}
	resp.Release()
	if _, err := p.Do(ctxFor(t, 5*time.Second), addr, &request, &second); err != nil {
		t.Error(err)
	}
	second.Release()
	if held := memory.Held(); held > 2*connCost+64<<10 {
		t.Errorf("%d bytes stay held", held)
	}
}

package transport

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/recvlimit"
	"github.com/parsleystack/parsleystack/wire"
)

// counted answers each request with as many bytes as its URI says, in memory that it keeps if
// kept is set.
type counted struct {
	echo
	kept bool
}

func (h *counted) ServeRequest(e *Exchange) {
	n, _ := strconv.Atoi(string(e.Request.URI)) // the test sends numbers
	_ = e.Respond(&wire.Response{Kind: outcome.Done, Status: 200, Body: make([]byte, n), BodyKept: h.kept})
}

// rawRequests opens a connection for requests, sends some of them with ids from 1 on, and reads
// nothing.
func rawRequests(t *testing.T, addr string, sizes []int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test has ended
	b := frame(t, wire.KindHello, 0, helloOf(1, 1, ClassRequest))
	if _, err := conn.Write(b); err != nil {
		t.Fatal(err)
	}
	for i, size := range sizes {
		if _, err := conn.Write(frame(t, wire.KindRequest, uint64(i+1), &wire.Request{URI: fmt.Append(nil, size)})); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond) // the responses are queued in this order
	}
	return conn
}

// Beside large responses on a link, small ones must not be lost: their callers would wait until
// their deadline. If a response finds no room in the queue, the caller must learn that its
// outcome is unknown.
func TestSmallResponsesBesideLargeOnes(t *testing.T) {
	const large, small = 40 << 20, 100
	for _, kept := range []bool{true, false} {
		t.Run(fmt.Sprintf("kept=%v", kept), func(t *testing.T) {
			_, addr := startHandler(t, &counted{kept: kept}, func(c *Config) { c.MaxBacklog, c.MaxFrame, c.WriteTimeout = 1<<20, 64<<20, time.Minute })
			sizes := []int{large, large, large, small, small, small, 64 << 10}
			conn := rawRequests(t, addr, sizes)
			if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
				t.Fatal(err)
			}
			reader := wire.NewReader(conn, wire.MaxHello)
			if _, err := readHello(reader, helloOf(1, 1, ClassRequest)); err != nil {
				t.Fatal(err)
			}
			reader.SetLimit(64 << 20)
			for range sizes {
				f, err := reader.Next()
				if err != nil {
					t.Fatal(err)
				}
				var resp wire.Response
				if err := f.Decode(&resp); err != nil {
					t.Fatal(err)
				}
				want := sizes[f.ID-1]
				lost := resp.Kind == outcome.Unknown && want > maxForced && !kept
				if !lost && (resp.Kind != outcome.Done || len(resp.Body) != want) {
					t.Errorf("response %d is %v with %d bytes, want %d bytes", f.ID, resp.Kind, len(resp.Body), want)
				}
			}
		})
	}
}

// Buffers of large responses must not stay with the connection: they would take the memory of
// messages as long as it is open.
func TestLargeWriteBuffersAreNotKept(t *testing.T) {
	memory := recvlimit.NewPool(64 << 20)
	_, addr := startHandler(t, &counted{}, func(c *Config) { c.Memory = memory })
	p := newTestPool(t, nil)
	body := make([]byte, 8<<20)
	for range 3 {
		var resp wire.Response
		if _, err := p.Do(ctxFor(t, 5*time.Second), addr, &wire.Request{URI: fmt.Append(nil, len(body))}, &resp); err != nil || !bytes.Equal(resp.Body, body) {
			t.Fatalf("%d bytes, error %v", len(resp.Body), err)
		}
		resp.Release()
		eventually(t, "the buffer is returned", func() bool { return memory.Held() <= connCost+2*maxRetainedBuffer })
	}
}

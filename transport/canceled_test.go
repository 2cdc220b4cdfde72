package transport

import (
	"bytes"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/wire"
)

// canceledCount counts the requests that were canceled when their handler started.
type canceledCount struct {
	echo
	started, canceled atomic.Int64
}

func (h *canceledCount) ServeRequest(e *Exchange) {
	if e.Canceled() {
		h.canceled.Add(1)
	}
	h.started.Add(1)
	if err := e.Respond(&wire.Response{Kind: outcome.NotRun}); err != nil {
		panic(err)
	}
}

// awaitCanceled waits until a number of requests were started, and fails the test unless each was
// canceled before.
func (h *canceledCount) awaitCanceled(t *testing.T, requests int64) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); h.started.Load() < requests && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if started, canceled := h.started.Load(), h.canceled.Load(); started != requests || canceled != started {
		t.Errorf("%d of %d requests were started, %d of them after their cancellation; want all", started, requests, canceled)
	}
}

// dialRaw opens a connection for requests to a server, for frames that the test writes itself.
func dialRaw(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the server may have closed it
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(frame(t, wire.KindHello, 0, helloOf(1, 1, ClassRequest))); err != nil {
		t.Fatal(err)
	}
	if _, err := wire.NewReader(conn, wire.DefaultMaxFrame).Next(); err != nil {
		t.Fatal(err)
	}
	return conn
}

// A daemon that read a request and its cancellation together, after a time without the
// processor or behind a congested link, started the request before it looked at the
// cancellation (GONE).
func TestCancellationReadWithItsRequestComesFirst(t *testing.T) {
	h := new(canceledCount)
	_, addr := startHandler(t, h, nil)
	conn := dialRaw(t, addr)
	const batches, perBatch = 50, 20
	for batch := range uint64(batches) {
		var b []byte
		for i := range uint64(perBatch) {
			b = append(b, frame(t, wire.KindRequest, batch*perBatch+i+1, &wire.Request{Body: []byte("x")})...)
		}
		for i := range uint64(perBatch) {
			b = append(b, frame(t, wire.KindCancel, batch*perBatch+i+1, nil)...)
		}
		if _, err := conn.Write(b); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond) // so that each batch is read on its own
	}
	h.awaitCanceled(t, batches*perBatch)
}

// ServeCellMessage implements Handler.
func (h *canceledCount) ServeCellMessage(ident.Node, []byte) {}

// pausedReader is a handler that keeps a connection from being read while it handles a message.
type pausedReader struct {
	canceledCount
	resume chan struct{}
}

func (h *pausedReader) ServeCellMessage(ident.Node, []byte) { <-h.resume }

// A daemon that found a request and its cancellation in a socket, after a time without the
// processor, started the request if a frame that its buffer does not hold lay between them: it
// looked no further than the buffer (GONE).
func TestCancellationBehindALargeFrameComesBeforeItsRequest(t *testing.T) {
	h := &pausedReader{resume: make(chan struct{})}
	_, addr := startHandler(t, h, nil)
	conn := dialRaw(t, addr)
	const rounds, perRound = 20, 5 // the frames of a round fit the socket's buffers
	for round := range uint64(rounds) {
		b := frame(t, wire.KindCellMessage, 0, nil)
		for i := range uint64(perRound) {
			b = append(b, frame(t, wire.KindRequest, round*perRound+i+1, &wire.Request{Body: make([]byte, i*6<<10)})...)
		}
		for i := range uint64(perRound) {
			b = append(b, frame(t, wire.KindCancel, round*perRound+i+1, nil)...)
		}
		if _, err := conn.Write(b); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond) // until all of it has arrived
		h.resume <- struct{}{}
	}
	h.awaitCanceled(t, rounds*perRound)
}

// A request must not wait for the frames behind it on a connection that always has more to be read.
func TestRequestOnABusyConnectionIsStarted(t *testing.T) {
	h := new(canceledCount)
	_, addr := startHandler(t, h, nil)
	conn := dialRaw(t, addr)
	request := frame(t, wire.KindRequest, 1, &wire.Request{Body: []byte("x")})
	messages := bytes.Repeat(frame(t, wire.KindCellMessage, 0, nil), 4096)
	if _, err := conn.Write(request); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); h.started.Load() == 0; {
		if _, err := conn.Write(messages); err != nil || time.Now().After(end) {
			t.Fatalf("the request is not started beside further frames, error %v", err)
		}
	}
}

package transport

import (
	"bytes"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/wire"
)

// TestBadPeersOnlyLoseTheirOwnConnection sends invalid handshakes and frames and
// checks that each closes only its own connection, while a good peer's requests
// still succeed.
func TestBadPeersOnlyLoseTheirOwnConnection(t *testing.T) {
	s, addr := start(t, &echo{})
	p := newTestPool(t, nil)
	good := func() {
		var resp wire.Response
		if _, err := p.Do(ctxFor(t, time.Second), addr, &wire.Request{Body: []byte("ok")}, &resp); err != nil || string(resp.Body) != "ok" {
			t.Fatalf("good peer: %q, %v", resp.Body, err)
		}
	}
	good()
	opening := frame(t, wire.KindHello, 0, helloOf(1, 1, ClassRequest))
	request := frame(t, wire.KindRequest, 1, &wire.Request{})
	for name, b := range map[string][]byte{
		"no hello":       request,
		"garbage":        []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"future version": frame(t, wire.KindHello, 0, helloOf(7, 9, ClassRequest)),
		"unknown class":  frame(t, wire.KindHello, 0, helloOf(1, 1, 77)),
		"oversize":       append(bytes.Clone(opening), 0x7f, 0xff, 0xff, 0xff, 2, 0, 0, 0, 0, 0, 0, 0, 1),
		"unknown kind":   append(bytes.Clone(opening), 0, 0, 0, 9, 77, 0, 0, 0, 0, 0, 0, 0, 1),
		"id used twice":  append(append(bytes.Clone(opening), request...), request...),
		"answer":         append(bytes.Clone(opening), frame(t, wire.KindResponse, 1, &wire.Response{})...),
	} {
		before := s.Counters().BadConns.Load()
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(b)
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		buf := make([]byte, 4096)
		for err == nil {
			_, err = conn.Read(buf)
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			t.Errorf("%s: the connection stays open", name)
		}
		_ = conn.Close()
		good()
		if s.Counters().BadConns.Load() == before {
			t.Errorf("%s: not counted", name)
		}
	}
	if n := p.Counters().Dials.Load(); n != 1 {
		t.Errorf("good peer dialed %d times, want 1", n)
	}
}

func helloOf(low, high uint16, class Class) *wire.Hello {
	h := hello("bad")
	h.MinVersion, h.MaxVersion, h.Class = low, high, uint8(class)
	return &h
}

func frame(t testing.TB, kind wire.Kind, id uint64, m interface {
	MarshalMsg([]byte) ([]byte, error)
}) []byte {
	b, err := wire.Append(nil, kind, id, m, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestClientNamesAVersionMismatch(t *testing.T) {
	_, addr := start(t, &echo{})
	p := newTestPool(t, func(c *Config) { c.Hello.MinVersion, c.Hello.MaxVersion = 5, 6 })
	var version *wire.VersionError
	if _, err := p.Call(ctxFor(t, time.Second), addr, 1, nil); !errors.As(err, &version) || version.PeerMax != wire.MaxVersion {
		t.Errorf("got %v, want a VersionError", err)
	}
}

// One request with more header fields than its receiver accepted ended the connection, and
// with it the requests of all other callers on it.
func TestMalformedMessageEndsOnlyItsOwnExchange(t *testing.T) {
	h := &echo{gate: make(chan struct{}), canceled: make(chan struct{})}
	s, addr := start(t, h)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	tooMany := &manyHeaders{wire.Request{Headers: make([]wire.Header, wire.MaxHeaders+1)}}
	b := frame(t, wire.KindHello, 0, helloOf(1, 1, ClassRequest))
	b = append(b, frame(t, wire.KindRequest, 1, &wire.Request{URI: []byte("/wait"), Body: []byte("running")})...)
	b = append(b, 0, 0, 0, 10, byte(wire.KindRequest), 0, 0, 0, 0, 0, 0, 0, 2, 0xc1)
	b = append(b, frame(t, wire.KindRequest, 3, tooMany)...)
	b = append(b, 0, 0, 0, 10, byte(wire.KindCall), 0, 0, 0, 0, 0, 0, 0, 4, 0xc1)
	if _, err := conn.Write(b); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	reader := wire.NewReader(conn, wire.DefaultMaxFrame)
	read := func() wire.Frame {
		f, err := reader.Next()
		if err != nil {
			t.Fatalf("the connection ended: %v", err)
		}
		return f
	}
	read() // hello
	for answered := 0; answered < 3; answered++ {
		f := read()
		switch f.ID {
		case 2, 3:
			var resp wire.Response
			if err := f.Decode(&resp); err != nil || resp.Kind != outcome.NotRun {
				t.Errorf("malformed request %d: %+v, %v; want not run", f.ID, resp.Result(), err)
			}
		case 4:
			var reply wire.Reply
			if err := f.Decode(&reply); err != nil || reply.Error == "" {
				t.Errorf("malformed call: %+v, %v; want an error", reply, err)
			}
		default:
			t.Errorf("answer to %d, want 2, 3 and 4", f.ID)
		}
	}
	select {
	case <-h.canceled:
		t.Error("the request in progress was canceled")
	default:
	}
	close(h.gate)
	var resp wire.Response
	if f := read(); f.ID != 1 || f.Decode(&resp) != nil || string(resp.Body) != "running" {
		t.Errorf("the request in progress got %d %q", f.ID, resp.Body)
	}
	if n := s.Counters().BadMessages.Load(); n != 3 {
		t.Errorf("%d malformed messages were counted, want 3", n)
	}
}

// manyHeaders is a request that is encoded without a check of its bounds, like one of another
// version.
type manyHeaders struct{ request wire.Request }

func (m *manyHeaders) MarshalMsg(b []byte) ([]byte, error) { return m.request.MarshalMsg(b) }

func (m *manyHeaders) Msgsize() int { return m.request.Msgsize() }

// A response that could not be decoded ended all requests on the connection.
func TestMalformedResponseEndsOnlyItsOwnRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		reader := wire.NewReader(conn, wire.DefaultMaxFrame)
		cfg := hello("server")
		answer := frame(t, wire.KindHello, 0, &cfg)
		for n := 0; ; n++ {
			if n > 0 {
				answer = nil
			}
			f, err := reader.Next()
			if err != nil {
				return
			}
			if f.ID == 2 { // the first request is answered after the second one
				answer = append(answer, 0, 0, 0, 10, byte(wire.KindResponse), 0, 0, 0, 0, 0, 0, 0, 2, 0xc1)
				answer = append(answer, frame(t, wire.KindResponse, 1, &wire.Response{Kind: outcome.Done, Status: 200})...)
			}
			if _, err := conn.Write(answer); err != nil {
				return
			}
		}
	}()
	p := newTestPool(t, nil)
	first := make(chan error, 1)
	go func() {
		var resp wire.Response
		_, err := p.Do(ctxFor(t, 5*time.Second), l.Addr().String(), &wire.Request{}, &resp)
		first <- err
	}()
	for p.Counters().FramesOut[ClassRequest].Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	var resp wire.Response
	if sent, err := p.Do(ctxFor(t, 5*time.Second), l.Addr().String(), &wire.Request{}, &resp); !sent || err == nil {
		t.Errorf("malformed response: sent %v, error %v; want an error of unknown outcome", sent, err)
	}
	if err := <-first; err != nil {
		t.Errorf("the other request on the connection: %v", err)
	}
}

// A request that its receiver rejects must not be sent: all daemons have the same bounds.
func TestTooManyHeadersAreNotSent(t *testing.T) {
	_, addr := start(t, &echo{})
	p := newTestPool(t, nil)
	var resp wire.Response
	sent, err := p.Do(ctxFor(t, time.Second), addr, &wire.Request{Headers: make([]wire.Header, wire.MaxHeaders+1)}, &resp)
	var headers *wire.HeaderCountError
	if sent || !errors.As(err, &headers) {
		t.Errorf("sent %v, error %v", sent, err)
	}
	if _, err := p.Do(ctxFor(t, time.Second), addr, &wire.Request{Headers: make([]wire.Header, wire.MaxHeaders)}, &resp); err != nil {
		t.Errorf("a request with the largest number of header fields: %v", err)
	}
}

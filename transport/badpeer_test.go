package transport

import (
	"bytes"
	"errors"
	"net"
	"testing"
	"time"

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
		"broken body":    append(bytes.Clone(opening), 0, 0, 0, 10, 2, 0, 0, 0, 0, 0, 0, 0, 1, 0xc1),
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

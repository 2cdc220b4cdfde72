package wire

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"slices"
	"testing"
	"testing/iotest"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/outcome"
)

func sampleRequest() *Request {
	return &Request{
		Service: "reports", Keyed: true, Point: 42, Token: cell.Token{Term: 3, Seq: 9}, ConfigOffset: 17,
		Timeout: time.Second, Objective: time.Millisecond, Priority: 2, Class: []byte("view"), Caller: "bookings", Method: []byte("POST"), URI: []byte("/a?b=c"), RequestID: []byte("id"),
		IdempotencyKey: []byte("once"), Headers: []Header{{Name: []byte("Host"), Value: []byte("x")}}, Body: []byte("body"),
	}
}

func frames(t testing.TB) []byte {
	var b []byte
	var err error
	for _, add := range []func([]byte) ([]byte, error){
		func(b []byte) ([]byte, error) { return Append(b, KindRequest, 1, sampleRequest(), DefaultMaxFrame) },
		func(b []byte) ([]byte, error) {
			return Append(b, KindResponse, 1, &Response{Kind: outcome.Done, Status: 200, Body: []byte("x")}, DefaultMaxFrame)
		},
		func(b []byte) ([]byte, error) { return AppendRaw(b, KindCancel, 2, nil, DefaultMaxFrame) },
		func(b []byte) ([]byte, error) {
			return AppendRaw(b, KindCellMessage, 0, []byte("opaque"), DefaultMaxFrame)
		},
	} {
		if b, err = add(b); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

func TestFramesAreReadBack(t *testing.T) {
	r := NewReader(iotest.OneByteReader(bytes.NewReader(frames(t))), DefaultMaxFrame)
	f, err := r.Next()
	if err != nil || f.Kind != KindRequest || f.ID != 1 {
		t.Fatalf("frame %+v, %v", f, err)
	}
	var req Request
	if err := f.Decode(&req); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(&req, sampleRequest()) {
		t.Errorf("got %+v", req)
	}
	for _, want := range []Kind{KindResponse, KindCancel, KindCellMessage} {
		if f, err = r.Next(); err != nil || f.Kind != want {
			t.Fatalf("frame %v, %v, want %v", f.Kind, err, want)
		}
	}
	if _, err := r.Next(); err != io.EOF {
		t.Errorf("got %v, want io.EOF", err)
	}
	if r.Bytes() != uint64(len(frames(t))) {
		t.Errorf("counted %d bytes of %d", r.Bytes(), len(frames(t)))
	}
}

func TestEveryCutIsTruncated(t *testing.T) {
	whole, err := Append(nil, KindRequest, 1, sampleRequest(), DefaultMaxFrame)
	if err != nil {
		t.Fatal(err)
	}
	for n := 1; n < len(whole); n++ {
		_, err := NewReader(bytes.NewReader(whole[:n]), DefaultMaxFrame).Next()
		var truncated *TruncatedError
		if !errors.As(err, &truncated) {
			t.Fatalf("cut at %d: %v, want a TruncatedError", n, err)
		}
	}
}

func TestOversizeIsRefusedOnBothSides(t *testing.T) {
	var oversize *OversizeError
	b, err := AppendRaw([]byte("kept"), KindCellMessage, 0, make([]byte, 100), 50)
	if !errors.As(err, &oversize) || string(b) != "kept" {
		t.Errorf("append: %v, %q", err, b)
	}
	b, _ = AppendRaw(nil, KindCellMessage, 0, make([]byte, 100), 500)
	if _, err := NewReader(bytes.NewReader(b), 50).Next(); !errors.As(err, &oversize) {
		t.Errorf("read: %v", err)
	}
}

// TestLengthWithoutBodyAllocatesLittle checks that a frame length of 1 GiB whose
// body does not arrive causes only a few allocations.
func TestLengthWithoutBodyAllocatesLittle(t *testing.T) {
	prefix := []byte{0x40, 0, 0, 0, byte(KindRequest), 0, 0, 0, 0, 0, 0, 0, 1}
	allocated := testing.AllocsPerRun(1, func() {
		_, _ = NewReader(bytes.NewReader(prefix), 1<<30).Next()
	})
	if allocated > 20 {
		t.Errorf("%v allocations", allocated)
	}
}

func TestMalformedFrames(t *testing.T) {
	var malformed *MalformedError
	for name, b := range map[string][]byte{
		"short length": {0, 0, 0, 3, 1, 2, 3},
		"unknown kind": {0, 0, 0, 9, 99, 0, 0, 0, 0, 0, 0, 0, 0},
	} {
		if _, err := NewReader(bytes.NewReader(b), DefaultMaxFrame).Next(); !errors.As(err, &malformed) {
			t.Errorf("%s: %v, want a MalformedError", name, err)
		}
	}
	f := Frame{Kind: KindRequest, Body: []byte{0xc1}}
	if err := f.Decode(new(Request)); !errors.As(err, &malformed) {
		t.Errorf("body: %v, want a MalformedError", err)
	}
	body, _ := sampleRequest().MarshalMsg(nil)
	f = Frame{Kind: KindRequest, Body: append(body, 0)}
	if err := f.Decode(new(Request)); !errors.As(err, &malformed) {
		t.Errorf("trailing byte: %v, want a MalformedError", err)
	}
}

func TestNegotiate(t *testing.T) {
	local := Hello{Magic: Magic, MinVersion: 2, MaxVersion: 4}
	for _, c := range []struct {
		low, high, want uint16
	}{{1, 2, 2}, {3, 9, 4}, {2, 3, 3}, {5, 6, 0}, {1, 1, 0}} {
		got, err := Negotiate(&local, &Hello{Magic: Magic, MinVersion: c.low, MaxVersion: c.high})
		var version *VersionError
		if got != c.want || (c.want == 0) != errors.As(err, &version) {
			t.Errorf("%d to %d: version %d, %v, want %d", c.low, c.high, got, err, c.want)
		}
	}
	if _, err := Negotiate(&local, &Hello{}); err == nil {
		t.Error("a hello without the magic string is accepted")
	}
}

func FuzzReader(f *testing.F) {
	f.Add(frames(f))
	f.Add([]byte{0, 0, 0, 9, 4, 0, 0, 0, 0, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		r := NewReader(bytes.NewReader(b), 1<<16)
		for {
			fr, err := r.Next()
			if err != nil {
				return
			}
			decodeAny(t, &fr)
			fr.Release()
		}
	})
}

// decodeAny decodes a frame by its kind. A Request that decodes must also encode
// and decode again.
func decodeAny(t *testing.T, f *Frame) {
	switch f.Kind {
	case KindRequest:
		var first, second Request
		if f.Decode(&first) != nil {
			return
		}
		b, err := first.MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := second.UnmarshalMsg(b); err != nil {
			t.Fatal(err)
		}
	case KindResponse:
		_ = f.Decode(new(Response))
	case KindHello:
		_ = f.Decode(new(Hello))
	case KindCall:
		_ = f.Decode(new(Call))
	case KindReply:
		_ = f.Decode(new(Reply))
	}
}

// A frame that was read together with the Hello before it must not be lost when the buffer
// is enlarged.
func TestBufferRequestsKeepsBufferedFrames(t *testing.T) {
	all := frames(t)
	want := readKinds(t, NewReader(bytes.NewReader(all), DefaultMaxFrame))
	r := NewReader(bytes.NewReader(all), DefaultMaxFrame)
	first, err := r.Next()
	if err != nil {
		t.Fatal(err)
	}
	r.BufferRequests()
	if got := append([]Kind{first.Kind}, readKinds(t, r)...); !slices.Equal(got, want) {
		t.Errorf("frames %v, want %v", got, want)
	}
}

// readKinds returns the kinds of the frames up to the end of r.
func readKinds(t *testing.T, r *Reader) []Kind {
	t.Helper()
	var kinds []Kind
	for {
		f, err := r.Next()
		if errors.Is(err, io.EOF) {
			return kinds
		}
		if err != nil {
			t.Fatal(err)
		}
		kinds = append(kinds, f.Kind)
		f.Release()
	}
}

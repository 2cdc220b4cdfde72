package recvlimit

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// Bodies of all sizes around the limits must be read whole, or not at all.
func TestBodiesAreReadWholeOrNotAtAll(t *testing.T) {
	const limit = 200 << 10
	for _, size := range []int{0, 1, readStep - 1, readStep, readStep + 1, FreeBytes, FreeBytes + 1, limit - 1, limit, limit + 1} {
		want := bytes.Repeat([]byte("abc"), size/3+1)[:size]
		for _, length := range []int{size, LengthUnknown} {
			p := NewPool(10 << 20)
			h := p.Open(Target, nil)
			got, err := ReadBody(iotest.OneByteReader(bytes.NewReader(want)), length, limit, Target, h)
			var tooLarge *MessageError
			if size > limit != errors.As(err, &tooLarge) || size <= limit && (err != nil || !bytes.Equal(got, want)) {
				t.Errorf("size %d, length %d: %d bytes, error %v", size, length, len(got), err)
			}
			if err == nil && size > readStep && p.Held() < size {
				t.Errorf("size %d: %d bytes are held", size, p.Held())
			}
			if h.Release(); p.Held() != 0 {
				t.Errorf("size %d: %d bytes stay held", size, p.Held())
			}
		}
		if _, err := ReadBody(bytes.NewReader(want), size+1, limit+2, Target, nil); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("size %d: a short body gives %v", size, err)
		}
	}
}

// A body that finds no room must say whose bodies these are, and leave the room to others.
func TestBodyWithoutRoom(t *testing.T) {
	p := NewPool(1 << 20)
	first, second := p.Open(Target, nil), p.Open(Target, nil)
	if _, err := ReadBody(bytes.NewReader(make([]byte, 512<<10)), 512<<10, 1<<20, Target, first); err != nil {
		t.Fatal(err)
	}
	_, err := ReadBody(bytes.NewReader(make([]byte, 512<<10)), 512<<10, 1<<20, Target, second)
	if source, ok := Exceeded(err); !ok || source != Target {
		t.Errorf("got %v, want a BudgetError of the target", err)
	}
	second.Release()
	first.Release()
	if _, err := ReadBody(bytes.NewReader(make([]byte, 512<<10)), 512<<10, 1<<20, Target, p.Open(Target, nil)); err != nil {
		t.Errorf("after a release: %v", err)
	}
}

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
			b := NewBudget(Target, 10<<20)
			r := NewReservation(b)
			got, err := ReadBody(iotest.OneByteReader(bytes.NewReader(want)), length, limit, Target, &r)
			var tooLarge *MessageError
			if size > limit != errors.As(err, &tooLarge) || size <= limit && (err != nil || !bytes.Equal(got, want)) {
				t.Errorf("size %d, length %d: %d bytes, error %v", size, length, len(got), err)
			}
			if r.Release(); b.Used() != 0 {
				t.Errorf("size %d: %d bytes stay reserved", size, b.Used())
			}
		}
		r := NewReservation(nil)
		if _, err := ReadBody(bytes.NewReader(want), size+1, limit+2, Target, &r); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("size %d: a short body gives %v", size, err)
		}
	}
}

// A message that is refused must leave the budget to the others.
func TestExhaustedBudgetIsNotLeaked(t *testing.T) {
	b := NewBudget(Target, 1<<20)
	first, second := NewReservation(b), NewReservation(b)
	if err := first.Grow(1 << 20); err != nil {
		t.Fatal(err)
	}
	var exhausted *BudgetError
	if err := second.Grow(1 << 20); !errors.As(err, &exhausted) {
		t.Fatalf("got %v, want a BudgetError", err)
	}
	if err := second.Grow(FreeBytes); err != nil {
		t.Errorf("a small message is refused: %v", err)
	}
	first.Release()
	first.Release()
	if err := second.Grow(1 << 20); err != nil {
		t.Errorf("after a release: %v", err)
	}
	if source, ok := Exceeded(exhausted); !ok || source != Target {
		t.Errorf("source %q, %v", source, ok)
	}
}

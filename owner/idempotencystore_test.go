package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/wire"
)

func newTestStore() *idempotencyStore {
	return newIdempotencyStore(IdempotencyConfig{TTL: time.Minute, MaxBytes: 10_000, MaxResponseBytes: 1000})
}

func doneResponse(size int) *wire.Response {
	return &wire.Response{Kind: outcome.Done, Status: 200, Body: make([]byte, size)}
}

// TestRecordSizeIsBounded checks that the records stay within MaxBytes by eviction of
// the oldest finished requests.
func TestRecordSizeIsBounded(t *testing.T) {
	s := newTestStore()
	for i := range 1000 {
		key := recordKey{key: fmt.Sprint(i)}
		if state, _ := s.begin(key, 1, 1); state != recordNew {
			t.Fatalf("request %d: state %d", i, state)
		}
		s.complete(key, doneResponse(500), 1)
		if _, bytes := s.size(); bytes > 10_000 {
			t.Fatalf("records have %d bytes, want at most 10000", bytes)
		}
	}
	if state, _ := s.begin(recordKey{key: "999"}, 1, 1); state != recordCompleted {
		t.Errorf("newest request: state %d", state)
	}
	if state, _ := s.begin(recordKey{key: "0"}, 1, 1); state != recordNew {
		t.Errorf("oldest request: state %d", state)
	}
}

// TestRecordExpiresAfterTTL checks that a finished request is recorded until its
// TTL has passed, and not longer.
func TestRecordExpiresAfterTTL(t *testing.T) {
	s := newTestStore()
	key := recordKey{key: "k"}
	s.begin(key, 1, 1)
	s.complete(key, doneResponse(1), 1)
	end := clock.Time(1).Add(time.Minute)
	if state, _ := s.begin(key, 1, end-1); state != recordCompleted {
		t.Errorf("before the TTL: state %d", state)
	}
	if state, _ := s.begin(key, 1, end); state != recordNew {
		t.Errorf("after the TTL: state %d", state)
	}
}

// TestLargeResponseIsNotStoredButRequestIsRecorded checks that a response above
// MaxResponseBytes is not stored, while its request stays recorded, so that a
// repeat is refused and does not run.
func TestLargeResponseIsNotStoredButRequestIsRecorded(t *testing.T) {
	s := newTestStore()
	key := recordKey{key: "k"}
	s.begin(key, 1, 1)
	s.complete(key, doneResponse(2000), 1)
	if state, _ := s.begin(key, 1, 2); state != recordUnknown {
		t.Errorf("got state %d, want %d", state, recordUnknown)
	}
}

func TestInFlightRequestsAreNeverForgotten(t *testing.T) {
	s := newTestStore()
	for i := range 200 {
		s.begin(recordKey{key: fmt.Sprint(i)}, 1, 1)
	}
	for i := range 200 {
		if state, _ := s.begin(recordKey{key: fmt.Sprint(i)}, 1, clock.Time(time.Hour)); state != recordInFlight {
			t.Fatalf("request %d: state %d", i, state)
		}
	}
}

package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/wire"
)

func newTestMemory() *memory {
	return newMemory(MemoryConfig{Keep: time.Minute, MaxBytes: 10_000, MaxAnswer: 1000})
}

func done(size int) *wire.Response {
	return &wire.Response{Kind: outcome.Done, Status: 200, Body: make([]byte, size)}
}

func TestMemoryIsBounded(t *testing.T) {
	m := newTestMemory()
	for i := range 1000 {
		key := memoryKey{key: fmt.Sprint(i)}
		if known, _ := m.begin(key, 1, 1); known != recallNew {
			t.Fatalf("request %d: %d", i, known)
		}
		m.end(key, done(500), 1)
		if _, bytes := m.size(); bytes > 10_000 {
			t.Fatalf("%d bytes remembered", bytes)
		}
	}
	if known, _ := m.begin(memoryKey{key: "999"}, 1, 1); known != recallAnswer {
		t.Errorf("newest: %d", known)
	}
	if known, _ := m.begin(memoryKey{key: "0"}, 1, 1); known != recallNew {
		t.Errorf("oldest: %d", known)
	}
}

func TestMemoryKeepsForItsTime(t *testing.T) {
	m := newTestMemory()
	key := memoryKey{key: "k"}
	m.begin(key, 1, 1)
	m.end(key, done(1), 1)
	end := clock.Time(1).Add(time.Minute)
	if known, _ := m.begin(key, 1, end-1); known != recallAnswer {
		t.Errorf("within the time: %d", known)
	}
	if known, _ := m.begin(key, 1, end); known != recallNew {
		t.Errorf("after the time: %d", known)
	}
}

func TestLargeAnswerIsNotKeptButItsRunIs(t *testing.T) {
	m := newTestMemory()
	key := memoryKey{key: "k"}
	m.begin(key, 1, 1)
	m.end(key, done(2000), 1)
	if known, _ := m.begin(key, 1, 2); known != recallUnknown {
		t.Errorf("got %d", known)
	}
}

func TestInFlightRequestsAreNeverForgotten(t *testing.T) {
	m := newTestMemory()
	for i := range 200 {
		m.begin(memoryKey{key: fmt.Sprint(i)}, 1, 1)
	}
	for i := range 200 {
		if known, _ := m.begin(memoryKey{key: fmt.Sprint(i)}, 1, clock.Time(time.Hour)); known != recallInFlight {
			t.Fatalf("request %d: %d", i, known)
		}
	}
}

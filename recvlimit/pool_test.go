package recvlimit

import (
	"errors"
	"sync"
	"testing"
	"time"
)

func mustGrow(t *testing.T, h *Holding, total int) {
	t.Helper()
	if err := h.Grow(total); err != nil {
		t.Fatalf("Grow(%d): %v", total, err)
	}
}

// Callers that stop just short of the end of their bodies must not keep others from
// being received: the one that has made progress least recently is evicted.
func TestLeastRecentProgressIsEvicted(t *testing.T) {
	p := NewPool(8 << 20)
	var evicted []int
	holdings := make([]*Holding, 3)
	for i := range holdings {
		holdings[i] = p.Open(Caller, func() { evicted = append(evicted, i); holdings[i].Release() })
		mustGrow(t, holdings[i], 2<<20)
	}
	mustGrow(t, holdings[0], 1) // progress without new memory
	h := p.Open(Caller, func() { t.Error("the message that grows was evicted") })
	mustGrow(t, h, 2<<20)
	if len(evicted) != 1 || evicted[0] != 1 {
		t.Fatalf("evicted %v, want [1]", evicted)
	}
	var exhausted *BudgetError
	if err := holdings[1].Grow(3 << 20); !errors.As(err, &exhausted) || !holdings[1].Evicted() {
		t.Errorf("an evicted message grows: %v", err)
	}
	if s := p.Stats(Caller); s.Held != 6<<20 || s.Evicted != 1 || s.Refused != 0 {
		t.Errorf("%+v", s)
	}
}

// A message that was received may have been forwarded, so it must not be evicted; small
// messages must find room beside it.
func TestCompleteMessagesAreKept(t *testing.T) {
	p := NewPool(8 << 20)
	h := p.Open(Daemon, func() { t.Error("a complete message was evicted") })
	mustGrow(t, h, 7<<20)
	h.Complete()
	incomplete := p.Open(Caller, func() { t.Error("evicted for a message that does not fit") })
	mustGrow(t, incomplete, FreeBytes)
	var exhausted *BudgetError
	large := p.Open(Target, nil)
	if err := large.Grow(2 << 20); !errors.As(err, &exhausted) || exhausted.Source != Target {
		t.Errorf("got %v, want a BudgetError of the target", err)
	}
	if s := p.Stats(Target); s.Refused != 1 || s.Held != 0 {
		t.Errorf("%+v", s)
	}
	h.Release()
	h.Release()
	mustGrow(t, large, 2<<20)
	if p.Held() != 2<<20+FreeBytes {
		t.Errorf("%d bytes held", p.Held())
	}
	large.Shrink(1 << 20)
	if p.Held() != 1<<20+FreeBytes {
		t.Errorf("%d bytes held after Shrink", p.Held())
	}
}

// Evicted messages take memory until their owners notice; the sum must stay bounded if
// these are slow, and others must get the room when it is released.
func TestEvictedMessagesCountUntilTheyAreReleased(t *testing.T) {
	p := NewPool(8 << 20)
	var open []*Holding
	for range 20 {
		h := p.Open(Caller, func() {})
		_ = h.Grow(1 << 20) // refused once many are evicted
		open = append(open, h)
		if p.Held() > 9<<20 {
			t.Fatalf("%d bytes held", p.Held())
		}
	}
	done := make(chan error)
	large := p.Open(Caller, func() {})
	go func() { done <- large.Await(6<<20, time.Minute) }()
	for _, h := range open {
		h.Release()
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	large.Release()
	if p.Held() != 0 || p.evicted != 0 || p.evictable != 0 {
		t.Errorf("after all releases: %d held, %d evicted, %d evictable", p.Held(), p.evicted, p.evictable)
	}
}

// Eviction by other goroutines must neither lose bytes nor forward an evicted message.
func TestConcurrentHoldings(t *testing.T) {
	p := NewPool(4 << 20)
	var group sync.WaitGroup
	for range 32 {
		group.Go(func() {
			for range 200 {
				var mu sync.Mutex
				complete, calls := false, 0
				h := p.Open(Caller, func() {
					mu.Lock()
					defer mu.Unlock()
					calls++
				})
				for n := 64 << 10; n <= 1<<20 && h.Grow(n) == nil; n *= 2 {
				}
				h.Complete()
				mu.Lock()
				complete = !h.Evicted()
				mu.Unlock()
				h.Release()
				mu.Lock()
				if complete && calls > 0 || calls > 1 {
					t.Errorf("evicted %d times, complete %v", calls, complete)
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	if p.Held() != 0 || p.evicted != 0 || p.evictable != 0 || p.incomplete.Len() != 0 {
		t.Errorf("%d held, %d evicted, %d evictable, %d incomplete", p.Held(), p.evicted, p.evictable, p.incomplete.Len())
	}
}

// A nil pool has no limit.
func TestNilPool(t *testing.T) {
	var p *Pool
	h := p.Open(Caller, nil)
	mustGrow(t, h, 1<<40)
	h.Complete()
	h.Release()
	if h.Evicted() || p.Held() != 0 {
		t.Error("a nil pool holds bytes")
	}
}

// A response waits for room that another message frees, and gives up when none is freed.
func TestAwaitRoom(t *testing.T) {
	p := NewPool(8 << 20)
	first, second := p.Open(Daemon, nil), p.Open(Daemon, nil)
	mustGrow(t, first, 6<<20)
	var exhausted *BudgetError
	if err := second.Await(2<<20, time.Millisecond); !errors.As(err, &exhausted) {
		t.Errorf("got %v, want a BudgetError", err)
	}
	if s := p.Stats(Daemon); s.Refused != 1 {
		t.Errorf("%+v", s)
	}
	go func() {
		time.Sleep(10 * time.Millisecond)
		first.Release()
	}()
	if err := second.Await(2<<20, time.Minute); err != nil {
		t.Error(err)
	}
	if err := second.Await(9<<20, time.Hour); !errors.As(err, &exhausted) {
		t.Errorf("a message above the limit: got %v, want a BudgetError", err)
	}
}

// What a response is expected to take must stay reserved while it is received in steps.
func TestReservedBytesStay(t *testing.T) {
	p := NewPool(8 << 20)
	h := p.Open(Target, nil)
	if err := h.Reserve(4 << 20); err != nil {
		t.Fatal(err)
	}
	mustGrow(t, h, 1<<20)
	if h.Shrink(1 << 20); p.Held() != 4<<20 {
		t.Errorf("%d bytes held, want those reserved", p.Held())
	}
	if h.Settle(1 << 20); p.Held() != 1<<20 {
		t.Errorf("%d bytes held after Settle", p.Held())
	}
	if h.Count(16 << 20); p.Held() != 16<<20 {
		t.Errorf("%d bytes held after Count", p.Held())
	}
	h.Release()
	if h.Count(1); p.Held() != 0 {
		t.Errorf("%d bytes held after Release", p.Held())
	}
}

// A message that is refused must leave the memory to the others, and small ones are received
// while complete ones take the rest.
func TestExhaustedPoolIsNotLeaked(t *testing.T) {
	const limit = 8 << 20
	p := NewPool(limit)
	first, second := p.Open(Target, nil), p.Open(Target, nil)
	mustGrow(t, first, limit-limit/smallShare)
	first.Complete()
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
	second.Release()
	if held := p.Held(); held != 0 {
		t.Errorf("%d bytes stay reserved", held)
	}
}

package main

import (
	"sync"
	"time"
)

const (
	keyCount = 1 << 16
	// ownerLimit is the time for which two backends may hold a key by the rule OWNER.
	ownerLimit = 500 * time.Millisecond
	ownerPoll  = 10 * time.Millisecond
)

// ownerWatch looks which backends of a service hold which keys, as the backends see it.
type ownerWatch struct {
	targets []*target

	mu      sync.Mutex
	since   [keyCount]time.Time     // since when two backends hold the key; zero if they don't
	longest [keyCount]time.Duration // for which they did
	pair    [keyCount][2]string
	stop    chan struct{}
	done    chan struct{}
}

func watchOwners(targets []*target) *ownerWatch {
	w := &ownerWatch{targets: targets, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *ownerWatch) run() {
	defer close(w.done)
	ticker := time.NewTicker(ownerPoll)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
			w.look()
		}
	}
}

func (w *ownerWatch) look() {
	now := time.Now()
	var first, second [keyCount]*target
	for _, t := range w.targets {
		for _, h := range t.held(now) {
			for k := h.from; k <= h.to; k++ {
				if first[k] == nil {
					first[k] = t
				} else if first[k] != t {
					second[k] = t
				}
			}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := range w.since {
		switch {
		case second[k] == nil:
			w.since[k] = time.Time{}
		case w.since[k].IsZero():
			w.since[k] = now
		default:
			if d := now.Sub(w.since[k]); d > w.longest[k] {
				w.longest[k], w.pair[k] = d, [2]string{first[k].id, second[k].id}
			}
		}
	}
}

// end returns how many keys two backends held for longer than the limit, the longest such time,
// and the two backends of that.
func (w *ownerWatch) end() (keys int, longest time.Duration, pair [2]string) {
	close(w.stop)
	<-w.done
	for k := range w.longest {
		if w.longest[k] > ownerLimit {
			keys++
		}
		if w.longest[k] > longest {
			longest, pair = w.longest[k], w.pair[k]
		}
	}
	return keys, longest, pair
}

// allHeld reports whether each key is held by a backend.
func allHeld(targets []*target) bool {
	now := time.Now()
	keys := int64(0)
	for _, t := range targets {
		for _, h := range t.held(now) {
			keys += h.to - h.from + 1
		}
	}
	return keys >= keyCount
}

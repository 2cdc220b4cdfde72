package sidecarsoak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// version is one configuration. Its added routes have the prefixes /added-N/.
type version struct {
	number    int
	sent      time.Time
	confirmed time.Time // when the store acknowledged it; zero before
	added     []int
}

// history holds all versions in the order in which they were sent.
type history struct {
	mu       sync.Mutex
	versions []version
}

func (h *history) append(v version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, v)
}

func (h *history) confirmLast(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions[len(h.versions)-1].confirmed = at
}

// newest returns the newest version.
func (h *history) newest() version {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.versions[len(h.versions)-1]
}

// floor returns the newest version that was acknowledged at a time; 0 if there is none.
func (h *history) floor(at time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	floor := 0
	for _, v := range h.versions {
		if !v.confirmed.IsZero() && !v.confirmed.After(at) {
			floor = v.number
		}
	}
	return floor
}

// explain returns the oldest version from floor on, sent before a time, that has a
// route, or that lacks it if present is false. It reports false if there is none.
func (h *history) explain(route int, present bool, floor int, before time.Time) (int, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range h.versions {
		if v.number >= floor && v.sent.Before(before) && slices.Contains(v.added, route) == present {
			return v.number, true
		}
	}
	return 0, false
}

func prefix(route int) string { return fmt.Sprintf("/added-%d/", route) }

package admission

import (
	"slices"

	"github.com/parsleystack/parsleystack/clock"
)

// waiting holds the requests that wait, ordered by deadline. It is short, so
// that scans are cheap.
type waiting struct {
	items []Item
}

func (w *waiting) len() int { return len(w.items) }

func (w *waiting) add(item Item) {
	i, _ := slices.BinarySearchFunc(w.items, item, func(a, b Item) int {
		if a.Deadline <= b.Deadline {
			return -1 // keep the order of arrival among equal deadlines
		}
		return 1
	})
	w.items = slices.Insert(w.items, i, item)
}

func (w *waiting) removeAt(i int) Item {
	item := w.items[i]
	w.items = slices.Delete(w.items, i, i+1)
	return item
}

func (w *waiting) remove(id uint64) bool {
	i := slices.IndexFunc(w.items, func(x Item) bool { return x.ID == id })
	if i < 0 {
		return false
	}
	w.removeAt(i)
	return true
}

// expired removes and returns a request whose deadline has passed.
func (w *waiting) expired(now clock.Time) (Item, bool) {
	if len(w.items) == 0 || now.Before(w.items[0].Deadline) {
		return Item{}, false
	}
	return w.removeAt(0), true
}

// ofFlow counts the requests of a flow.
func (w *waiting) ofFlow(f Flow) int {
	n := 0
	for i := range w.items {
		if w.items[i].Flow == f {
			n++
		}
	}
	return n
}

// largestFlow returns the flow with the most requests and their number.
func (w *waiting) largestFlow() (Flow, int) {
	var largest Flow
	most := 0
	for i := range w.items {
		if n := w.ofFlow(w.items[i].Flow); n > most {
			largest, most = w.items[i].Flow, n
		}
	}
	return largest, most
}

// last returns the index of the request with the latest deadline among those
// that match, or -1.
func (w *waiting) last(match func(*Item) bool) int {
	for i := len(w.items) - 1; i >= 0; i-- {
		if match(&w.items[i]) {
			return i
		}
	}
	return -1
}

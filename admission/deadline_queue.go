package admission

import (
	"slices"

	"github.com/parsleystack/parsleystack/clock"
)

// deadlineQueue holds the queued requests ordered by deadline. It is short, so
// linear scans are cheap.
type deadlineQueue struct {
	items []Item
}

func (w *deadlineQueue) len() int { return len(w.items) }

func (w *deadlineQueue) add(item Item) {
	i, _ := slices.BinarySearchFunc(w.items, item, func(a, b Item) int {
		if a.Deadline <= b.Deadline {
			return -1 // equal deadlines stay in order of arrival
		}
		return 1
	})
	w.items = slices.Insert(w.items, i, item)
}

func (w *deadlineQueue) removeAt(i int) Item {
	item := w.items[i]
	w.items = slices.Delete(w.items, i, i+1)
	return item
}

func (w *deadlineQueue) remove(id uint64) bool {
	i := slices.IndexFunc(w.items, func(x Item) bool { return x.ID == id })
	if i < 0 {
		return false
	}
	w.removeAt(i)
	return true
}

// removeExpired removes and returns one request whose deadline has passed, if
// there is one.
func (w *deadlineQueue) removeExpired(now clock.Time) (Item, bool) {
	if len(w.items) == 0 || now.Before(w.items[0].Deadline) {
		return Item{}, false
	}
	return w.removeAt(0), true
}

// countFlow returns the number of queued requests of a flow.
func (w *deadlineQueue) countFlow(f Flow) int {
	n := 0
	for i := range w.items {
		if w.items[i].Flow == f {
			n++
		}
	}
	return n
}

// largestFlow returns the flow with the most requests and their number.
func (w *deadlineQueue) largestFlow() (Flow, int) {
	var largest Flow
	most := 0
	for i := range w.items {
		if n := w.countFlow(w.items[i].Flow); n > most {
			largest, most = w.items[i].Flow, n
		}
	}
	return largest, most
}

// lastIndexFunc returns the index of the request with the latest deadline among
// those that match, or -1.
func (w *deadlineQueue) lastIndexFunc(match func(*Item) bool) int {
	for i := len(w.items) - 1; i >= 0; i-- {
		if match(&w.items[i]) {
			return i
		}
	}
	return -1
}

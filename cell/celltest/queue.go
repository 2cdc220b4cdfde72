package celltest

import (
	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
)

// itemKind is the kind of a planned happening.
type itemKind uint8

const (
	itemEvent        itemKind = iota // an event for the machine of slot
	itemMessage                      // a message reaches slot
	itemTick                         // the driver's timer fires
	itemReleased                     // work of a range that is being released has ended
	itemEffects                      // a process wakes before its effects
	itemWake                         // a frozen process wakes
	itemRestart                      // a new process starts
	itemAppendArrive                 // an append reaches the log
	itemAppendLand                   // a late append takes effect
	itemReadArrive                   // a read reaches the log
	itemReadPollEnd                  // a waiting read is answered without records
	itemReadRetry                    // the driver gives a read up
	itemReadAnswer                   // the answer of a read arrives
	itemFaultStart
	itemFaultEnd
	itemSample
	itemProbe
)

// bound reports whether the item ends with its process and waits while the
// process is frozen.
func (k itemKind) bound() bool {
	switch k {
	case itemEvent, itemTick, itemReleased, itemEffects, itemReadRetry, itemReadAnswer, itemWake:
		return true
	}
	return false
}

// item is one planned happening.
type item struct {
	at      trueTime
	kind    itemKind
	slot    int8
	gen     uint32 // process that it belongs to
	id      uint64 // read or timer that it belongs to, or index of a fault
	node    ident.Node
	event   cell.Event
	effects *cell.Effects
	payload []byte
}

// queued orders an item of the queue by time and order of insertion.
type queued struct {
	at    trueTime
	seq   uint64
	index int32
}

func (a *queued) before(b *queued) bool {
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

// queue is a binary heap of items. The items stay in place, only their order moves.
type queue struct {
	heap  []queued
	items []item
	free  []int32
	seq   uint64
}

func (q *queue) empty() bool { return len(q.heap) == 0 }

func (q *queue) push(it item) {
	q.seq++
	entry := queued{at: it.at, seq: q.seq, index: q.place(&it)}
	q.heap = append(q.heap, entry)
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if q.heap[parent].before(&entry) {
			break
		}
		q.heap[i] = q.heap[parent]
		i = parent
	}
	q.heap[i] = entry
}

// place stores an item and returns its index.
func (q *queue) place(it *item) int32 {
	if n := len(q.free); n > 0 {
		index := q.free[n-1]
		q.free = q.free[:n-1]
		q.items[index] = *it
		return index
	}
	q.items = append(q.items, *it)
	return int32(len(q.items) - 1)
}

func (q *queue) pop() item {
	top := q.heap[0].index
	it := q.items[top]
	q.items[top] = item{}
	q.free = append(q.free, top)
	n := len(q.heap) - 1
	last := q.heap[n]
	q.heap = q.heap[:n]
	if n > 0 {
		q.siftDown(last)
	}
	return it
}

// siftDown puts an entry into the hole at the root.
func (q *queue) siftDown(entry queued) {
	n := len(q.heap)
	i := 0
	for {
		child := 2*i + 1
		if child >= n {
			break
		}
		if child+1 < n && q.heap[child+1].before(&q.heap[child]) {
			child++
		}
		if entry.before(&q.heap[child]) {
			break
		}
		q.heap[i] = q.heap[child]
		i = child
	}
	q.heap[i] = entry
}

package celltest

import (
	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
)

// itemKind is the kind of a scheduled item.
type itemKind uint8

const (
	itemEvent        itemKind = iota // an event for the state machine of slot
	itemMessage                      // a message reaches slot
	itemTick                         // the driver's timer fires
	itemReleased                     // the requests in flight in a range that is being released have ended
	itemEffects                      // the effects of a step are applied after a freeze
	itemWake                         // a freeze ends
	itemRestart                      // a new process starts
	itemAppendArrive                 // an append reaches the log
	itemAppendCommit                 // a late append takes effect
	itemReadArrive                   // a read reaches the log
	itemReadPollEnd                  // the long-poll time of a waiting read expires
	itemReadRetry                    // the driver starts a read, possibly after a timeout
	itemReadResponse                 // the response to a read arrives
	itemFaultStart
	itemFaultEnd
	itemSample
	itemProbe
)

// boundToProcess reports whether the item is dropped when its process exits and
// postponed while the process is frozen.
func (k itemKind) boundToProcess() bool {
	switch k {
	case itemEvent, itemTick, itemReleased, itemEffects, itemReadRetry, itemReadResponse, itemWake:
		return true
	}
	return false
}

// item is something that happens at a scheduled time.
type item struct {
	at      trueTime
	kind    itemKind
	slot    int8
	gen     uint32 // generation of the process that it belongs to
	id      uint64 // read or timer that it belongs to, or index of a fault
	node    ident.Node
	event   cell.Event
	effects *cell.Effects
	payload []byte
}

// heapEntry is an entry of the heap. Entries are ordered by time, then by
// insertion.
type heapEntry struct {
	at    trueTime
	seq   uint64
	index int32
}

func (a *heapEntry) before(b *heapEntry) bool {
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

// queue is a priority queue of items. The binary heap holds indexes, so that
// items are not moved.
type queue struct {
	heap     []heapEntry
	items    []item
	freeList []int32
	seq      uint64
}

func (q *queue) empty() bool { return len(q.heap) == 0 }

func (q *queue) push(it item) {
	q.seq++
	entry := heapEntry{at: it.at, seq: q.seq, index: q.store(&it)}
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

// store puts an item into a free element of items and returns its index.
func (q *queue) store(it *item) int32 {
	if n := len(q.freeList); n > 0 {
		index := q.freeList[n-1]
		q.freeList = q.freeList[:n-1]
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
	q.freeList = append(q.freeList, top)
	n := len(q.heap) - 1
	last := q.heap[n]
	q.heap = q.heap[:n]
	if n > 0 {
		q.siftDown(last)
	}
	return it
}

// siftDown inserts an entry at the vacant root of the heap.
func (q *queue) siftDown(entry heapEntry) {
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

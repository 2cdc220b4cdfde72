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
	case itemEvent, itemTick, itemEffects, itemReadRetry, itemReadAnswer, itemWake:
		return true
	}
	return false
}

// item is one planned happening.
type item struct {
	at      trueTime
	seq     uint64
	kind    itemKind
	slot    int8
	gen     uint32 // process that it belongs to
	id      uint64 // read or timer that it belongs to, or index of a fault
	node    ident.Node
	event   cell.Event
	effects *cell.Effects
	payload []byte
}

// queue is a binary heap of items by time and order of insertion.
type queue struct {
	items []item
	seq   uint64
}

func (q *queue) less(i, j int) bool {
	a, b := &q.items[i], &q.items[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (q *queue) push(it item) {
	q.seq++
	it.seq = q.seq
	q.items = append(q.items, it)
	i := len(q.items) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			return
		}
		q.items[i], q.items[parent] = q.items[parent], q.items[i]
		i = parent
	}
}

func (q *queue) pop() item {
	top := q.items[0]
	n := len(q.items) - 1
	q.items[0] = q.items[n]
	q.items[n] = item{}
	q.items = q.items[:n]
	q.siftDown()
	return top
}

func (q *queue) siftDown() {
	n := len(q.items)
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < n; child++ {
			if q.less(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		q.items[i], q.items[least] = q.items[least], q.items[i]
		i = least
	}
}

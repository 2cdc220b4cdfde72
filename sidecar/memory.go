package sidecar

import (
	"runtime/debug"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/recvlimit"
)

// targetMemoryPart is the part of the process's memory that answers of the target may
// take together: a fifth, above the largest one on the smallest machine. An answer is
// copied up to once more on its way, and the heap needs room for garbage.
const targetMemoryPart = 5

// receiveBudgets bound the memory of messages that are being received.
type receiveBudgets struct {
	target *recvlimit.Budget
}

func newReceiveBudgets(memory int) receiveBudgets {
	return receiveBudgets{target: recvlimit.NewBudget(recvlimit.Target, memory/targetMemoryPart)}
}

// heapPart is the part of the process's memory that the heap may take, garbage
// included. The rest is for stacks, socket buffers and the program itself.
const heapPart = 0.75

// gcPercent is the garbage, as a share of the live heap in per cent, at which a collection
// starts. A daemon allocates about 4 MB a second, so that the default of 100 collects only
// every few seconds and holds as much garbage as live data.
const gcPercent = 40

// LimitGarbage makes the garbage collector run before the garbage exceeds gcPercent of the
// live heap.
func LimitGarbage() { debug.SetGCPercent(gcPercent) }

// LimitHeap makes the garbage collector run more often when the heap approaches its
// part of the process's memory, in bytes. It returns the earlier limit.
func LimitHeap(memory int) (earlier int64) {
	return debug.SetMemoryLimit(int64(heapPart * float64(memory)))
}

// recordOversize logs and counts an error about a message that was too large. It
// ignores all other errors.
func (d *Daemon) recordOversize(err error) {
	source, ok := recvlimit.Exceeded(err)
	if !ok {
		return
	}
	d.metrics.countOversize(source)
	logevent.Log(d.log, logevent.MessageTooLarge, zap.String("source", string(source)), zap.Error(err))
}

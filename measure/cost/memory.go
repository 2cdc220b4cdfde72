package cost

import "runtime"

// heapOf returns the heap size in bytes of the result of build, which is kept alive
// until it is measured.
func heapOf(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	// Memory held by finalizers and pools is freed only by the second collection.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

package cost

import "runtime"

// heapOf returns the heap bytes of what build returns. The result of build is
// kept alive until it is measured.
func heapOf(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	// The second collection frees what the first one's finalizers and pools held.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

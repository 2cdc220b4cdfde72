package transport

import "sync/atomic"

// Counters count the traffic of a Pool or Server. Bytes are those of frames,
// without TCP and IP headers.
type Counters struct {
	BytesIn   [classCount]atomic.Uint64 // by Class
	BytesOut  [classCount]atomic.Uint64 // by Class
	FramesIn  [classCount]atomic.Uint64 // by Class
	FramesOut [classCount]atomic.Uint64 // by Class

	LateAnswers   atomic.Uint64 // answers nobody waited for any more
	BadConns      atomic.Uint64 // connections closed for a protocol error
	Dials         atomic.Uint64
	FailedDials   atomic.Uint64
	DroppedFrames atomic.Uint64 // one-way messages given up
}

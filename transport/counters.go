package transport

import "sync/atomic"

// Counters counts the traffic of a Pool or Server. Byte counts cover frames,
// without TCP and IP headers.
type Counters struct {
	BytesIn   [classCount]atomic.Uint64 // by Class
	BytesOut  [classCount]atomic.Uint64 // by Class
	FramesIn  [classCount]atomic.Uint64 // by Class
	FramesOut [classCount]atomic.Uint64 // by Class

	LateAnswers   atomic.Uint64 // answers that arrived after their caller stopped waiting
	BadConns      atomic.Uint64 // connections closed because of a protocol error
	BadMessages   atomic.Uint64 // messages that could not be decoded
	RefusedConns  atomic.Uint64 // connections closed because of Config.MaxConns
	SilentConns   atomic.Uint64 // connections that were replaced since nothing arrived on them
	Dials         atomic.Uint64
	FailedDials   atomic.Uint64
	DroppedFrames atomic.Uint64 // one-way messages that were dropped
}

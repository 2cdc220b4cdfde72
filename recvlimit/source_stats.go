package recvlimit

// SourceStats is what a pool knows of the messages of one source.
type SourceStats struct {
	Held    int    // bytes that the messages take now
	Refused uint64 // messages that were refused further bytes
	Evicted uint64 // messages that were evicted while they were incomplete
}

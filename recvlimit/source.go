package recvlimit

// Source is the kind of sender whose messages take memory.
type Source string

// Sources of messages.
const (
	Caller Source = "caller"
	Daemon Source = "daemon"
	Target Source = "target"
	Store  Source = "store"
)

// FreeBytes is the size up to which messages may use the last part of a pool, so that
// small messages are received while large ones exhaust it.
const FreeBytes = 64 << 10

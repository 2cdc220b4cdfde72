package config

import "time"

// Parameters holds the parameters of a Core.
type Parameters struct {
	// PollInterval is the minimum time between two reads at the end of the
	// stream.
	PollInterval time.Duration
	// RetryInterval is the delay before a failed read or pull is retried.
	RetryInterval time.Duration
	// PeerLagTimeout is the time for which a daemon that reads the log itself may
	// lag behind a peer before it pulls from that peer.
	PeerLagTimeout time.Duration
	// IdleInterval replaces PollInterval in a daemon that relies on pulls from
	// its peers.
	IdleInterval time.Duration
	// SnapshotInterval is the age of the newest snapshot at which another one is
	// due. It must be well below the log's retention.
	SnapshotInterval time.Duration
	// SnapshotJitter bounds the random delay before a due snapshot is appended.
	SnapshotJitter time.Duration
	// ReadLimit is the maximum number of records per read.
	ReadLimit int
	// Author is recorded as the author of snapshots.
	Author string
	// Seed seeds jitter and nonces, so that runs are reproducible.
	Seed uint64
}

// recentLimit is the number of records kept in memory for pulls of peers that
// lag by a few records.
const recentLimit = 256

// DefaultParameters returns the parameters of a daemon with the given interval
// between snapshots.
func DefaultParameters(snapshotInterval time.Duration) Parameters {
	return Parameters{
		PollInterval:     100 * time.Millisecond,
		RetryInterval:    250 * time.Millisecond,
		PeerLagTimeout:   500 * time.Millisecond,
		IdleInterval:     30 * time.Second,
		SnapshotInterval: snapshotInterval,
		SnapshotJitter:   snapshotInterval / 4,
		ReadLimit:        512,
	}
}

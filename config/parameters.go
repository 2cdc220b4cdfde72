package config

import "time"

// Parameters of a Core.
type Parameters struct {
	// PollInterval is the least time between two reads at the end of the
	// stream.
	PollInterval time.Duration
	// RetryInterval is the time after which a failed read or pull is repeated.
	RetryInterval time.Duration
	// PeerPatience is the time for which a daemon that reads the log itself may
	// lag behind a peer before it pulls from that peer.
	PeerPatience time.Duration
	// IdleInterval is the time between reads of a daemon that leaves reading to
	// others.
	IdleInterval time.Duration
	// SnapshotInterval is the age at which the newest snapshot is due to be
	// repeated. It must be well below the log's retention.
	SnapshotInterval time.Duration
	// SnapshotJitter bounds the random delay before a due snapshot is appended.
	SnapshotJitter time.Duration
	// ReadLimit is the largest number of records of one read.
	ReadLimit int
	// Author is written into snapshots.
	Author string
	// Seed seeds jitter and nonces, so that runs can be repeated.
	Seed uint64
}

// recentLimit is the number of records kept for peers that lack a few.
const recentLimit = 256

// DefaultParameters returns the parameters of a daemon with the given interval
// between snapshots.
func DefaultParameters(snapshotInterval time.Duration) Parameters {
	return Parameters{
		PollInterval:     100 * time.Millisecond,
		RetryInterval:    250 * time.Millisecond,
		PeerPatience:     500 * time.Millisecond,
		IdleInterval:     30 * time.Second,
		SnapshotInterval: snapshotInterval,
		SnapshotJitter:   snapshotInterval / 4,
		ReadLimit:        512,
	}
}

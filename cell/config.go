package cell

import (
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

// MaxMembers is the maximum number of members of a cell.
const MaxMembers = 7

// Config holds the parameters of a cell. Except for Self, all members of a
// cell must use the same values.
type Config struct {
	Service ident.Service
	Self    Member

	// Span is the part of the service's hash space that the cell assigns.
	Span keyspace.Range

	// InitialRanges is the number of ranges the first leader divides the
	// span into.
	InitialRanges int

	// LeaseDuration is the longest lease of a member, and the time by which a
	// LeaseExtension of the deputy extends the leader's lease.
	LeaseDuration time.Duration
	// HeartbeatInterval is the time between lease renewals of one member. The
	// leader sends heartbeats to its deputy at half of this interval.
	HeartbeatInterval time.Duration
	// RetryInterval is the time after which an unanswered heartbeat is sent again.
	RetryInterval time.Duration
	// DriftPPM is the assumed bound on the rate difference of two clocks, in
	// parts per million.
	DriftPPM int64
	// TargetMargin is the additional wait after the end of a lease before its
	// ranges are granted again. It is for services whose targets do not check
	// fencing tokens.
	TargetMargin time.Duration
	// MaxLogStaleness is the maximum staleness of the log: a leader that has not read
	// the log to its end for this long grants no leases.
	MaxLogStaleness time.Duration
	// SnapshotInterval is the longest time between snapshots in the stream; 0
	// turns snapshots off.
	SnapshotInterval time.Duration
	// DrainLimit is the longest time that a handover waits for requests in flight.
	DrainLimit time.Duration

	// Balance holds the parameters of moves, splits and merges.
	Balance BalanceConfig

	// Seed seeds the random numbers for jitter and nonces, so that runs can be
	// repeated.
	Seed int64

	// Fault enables a fault injection, for tests of checkers only.
	Fault Fault
}

// BalanceConfig holds the parameters of balancing within the cell.
type BalanceConfig struct {
	Interval          time.Duration // time between decisions; 0 turns balancing off
	WeightImbalance   float64       // all weights are in [0, 1]
	WeightChurn       float64
	WeightUnavailable float64
	MaxMovesPerMinute int // 0 sets no limit
	MaxRanges         int // maximum number of ranges after splits
}

package cell

import (
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

// MaxMembers is the largest number of members that a cell takes in.
const MaxMembers = 7

// Config holds the parameters of a cell. All members of a cell use equal
// values of every field but Self.
type Config struct {
	Service ident.Service
	Self    Member

	// Span is the part of the service's hash space that the cell holds.
	Span keyspace.Range

	// InitialRanges is the number of ranges the first leader divides the
	// span into.
	InitialRanges int

	// LeaseDuration is the longest lease and the length of a pledge.
	LeaseDuration time.Duration
	// HeartbeatInterval is the time between lease renewals of one member and
	// between heartbeats of the leader to its deputy.
	HeartbeatInterval time.Duration
	// RetryInterval is the time after which an unanswered heartbeat is sent again.
	RetryInterval time.Duration
	// DriftPPM is the assumed bound on the rate difference of two clocks, in
	// parts per million.
	DriftPPM int64
	// TargetMargin is added before a range of a service whose targets do not
	// check fencing tokens is granted again.
	TargetMargin time.Duration
	// MaxLogStaleness is the longest time that a leader grants leases without having
	// read the log up to its end.
	MaxLogStaleness time.Duration
	// SnapshotInterval is the longest time between snapshots in the stream.
	SnapshotInterval time.Duration
	// DrainLimit is the longest time that a hand-over waits for work in flight.
	DrainLimit time.Duration

	// Balance holds the parameters of moves, splits and merges.
	Balance BalanceConfig

	// Seed seeds the core's jitter and nonces, so that runs can be repeated.
	Seed int64

	// Fault is for tests of checkers only; see Fault.
	Fault Fault
}

// BalanceConfig holds the parameters of balancing within the cell.
type BalanceConfig struct {
	Interval          time.Duration // time between decisions; 0 turns balancing off
	WeightImbalance   float64       // the weights are in [0, 1]
	WeightChurn       float64
	WeightUnavailable float64
	MaxMovesPerMinute int // 0 sets no limit
	MaxRanges         int // splits stop there
}

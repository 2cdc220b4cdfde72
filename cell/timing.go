package cell

import "time"

const (
	// TickInterval is the longest time between two Tick events of a driver.
	TickInterval = 100 * time.Millisecond

	// appendTimeout is the time after which the outcome of an append that the
	// driver has not answered is treated as unknown.
	appendTimeout = 2 * time.Second
	// appendRetry is the time after which a record of unknown outcome is
	// replaced by a new one. At most one of the two takes effect.
	appendRetry = time.Second

	// maxAppendBackoff is the longest pause after a failed append.
	maxAppendBackoff = 2 * time.Second
	// maxBackoffDoublings is the number of times that the pause is doubled.
	maxBackoffDoublings = 8

	partsPerMillion = 1_000_000
)

// timing holds the durations of the protocol, derived from Config.
type timing struct {
	lease     time.Duration // longest lease, and length of a lease extension
	renew     time.Duration // between renewals of a member
	heartbeat time.Duration // between heartbeats to the deputy
	retry     time.Duration // until an unanswered message is repeated

	// claimTimeout is the time without contact to the leader after which the
	// deputy claims the leadership.
	claimTimeout time.Duration
	// replaceTimeout is the time without an answer of the deputy after which the
	// leader replaces it. It is shorter than claimTimeout, so that a deputy that
	// alone is cut off is replaced before it claims.
	replaceTimeout time.Duration
	// probeTimeout is the time without an answer of the deputy after which the
	// leader probes the other members for a replacement. It is longer than the
	// time between two answers.
	probeTimeout time.Duration
	// noDeputyTimeout is the time without an answer of the deputy after which a
	// leader without another candidate continues without a deputy.
	noDeputyTimeout time.Duration
	// recoveryTimeout is the time without contact to the leader after which a
	// member starts a recovery.
	recoveryTimeout time.Duration
	// objectionPeriod is the time between an intent and the recovery claim.
	objectionPeriod time.Duration
	// removalTimeout is the time without a renewal after which a member is removed.
	removalTimeout time.Duration
	// maxLogStaleness is the longest time since the last read to the end of the
	// log during which a leader grants leases.
	maxLogStaleness time.Duration

	driftPPM int64 // parts per million
}

func newTiming(cfg Config) timing {
	claim := cfg.HeartbeatInterval + cfg.RetryInterval
	heartbeat := cfg.HeartbeatInterval / 2
	return timing{
		lease:           cfg.LeaseDuration,
		renew:           cfg.HeartbeatInterval,
		heartbeat:       heartbeat,
		retry:           cfg.RetryInterval,
		claimTimeout:    claim,
		replaceTimeout:  claim - cfg.RetryInterval,
		probeTimeout:    max(cfg.HeartbeatInterval-2*cfg.RetryInterval, heartbeat+cfg.RetryInterval/2),
		noDeputyTimeout: 4 * claim,
		recoveryTimeout: 3 * cfg.LeaseDuration,
		objectionPeriod: 2 * cfg.LeaseDuration,
		removalTimeout:  30 * cfg.LeaseDuration,
		maxLogStaleness: cfg.MaxLogStaleness,
		driftPPM:        cfg.DriftPPM,
	}
}

// driftMargin returns the maximum drift between two clocks over d, rounded up.
func (t timing) driftMargin(d time.Duration) time.Duration {
	return (d*time.Duration(t.driftPPM) + partsPerMillion - 1) / partsPerMillion
}

// minusDrift returns d less the drift margin, for the holder of a lease.
func (t timing) minusDrift(d time.Duration) time.Duration { return d - t.driftMargin(d) }

// plusDrift returns d plus the drift margin, for the process that waits for the end
// of another one's lease.
func (t timing) plusDrift(d time.Duration) time.Duration { return d + t.driftMargin(d) }

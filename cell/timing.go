package cell

import "time"

const (
	// TickInterval is the longest time between two ticks of a driver.
	TickInterval = 100 * time.Millisecond

	// appendTimeout is the time after which an append that the driver has not
	// answered is taken to have an unknown outcome.
	appendTimeout = 2 * time.Second
	// appendRetry is the time after which a record of unknown outcome is
	// replaced by a new one that excludes it.
	appendRetry = time.Second

	// maxAppendBackoff is the longest pause after a failed append.
	maxAppendBackoff = 2 * time.Second
	// maxBackoffDoublings bounds the growth of that pause.
	maxBackoffDoublings = 8

	partsPerMillion = 1_000_000
)

// timing holds the durations that the rules are made of.
type timing struct {
	lease           time.Duration // longest lease and length of a pledge
	renew           time.Duration // between renewals of a member
	heartbeat       time.Duration // between heartbeats to the deputy
	retry           time.Duration // after an unanswered message
	claimTimeout    time.Duration // silence of the leader after which the deputy claims
	replaceTimeout  time.Duration // silence of the deputy after which the leader replaces it; shorter, so that a deputy that is cut off alone loses the race
	probeTimeout    time.Duration // silence of the deputy after which the leader looks for another; longer than the time between two of its answers
	soloTimeout     time.Duration // silence after which a leader without candidates goes on without a deputy
	recoveryTimeout time.Duration // silence after which a member intends a recovery
	objection       time.Duration // between an intent and its claim
	gone            time.Duration // silence after which a member is given up
	blind           time.Duration
	drift           int64 // parts per million
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
		soloTimeout:     4 * claim,
		recoveryTimeout: 3 * cfg.LeaseDuration,
		objection:       2 * cfg.LeaseDuration,
		gone:            30 * cfg.LeaseDuration,
		blind:           cfg.MaxLogStaleness,
		drift:           cfg.DriftPPM,
	}
}

// margin returns the drift that two clocks may show over d, rounded up.
func (t timing) margin(d time.Duration) time.Duration {
	return (d*time.Duration(t.drift) + partsPerMillion - 1) / partsPerMillion
}

// shorter returns d less the drift margin, for the side that holds a right.
func (t timing) shorter(d time.Duration) time.Duration { return d - t.margin(d) }

// longer returns d and the drift margin, for the side that waits for the end
// of a right.
func (t timing) longer(d time.Duration) time.Duration { return d + t.margin(d) }

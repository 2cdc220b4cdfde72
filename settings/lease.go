package settings

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/yamlfile"
)

// Lease holds the parameters of ownership. All daemons of a cell use equal
// values.
type Lease struct {
	// Duration is the longest lease and the length of a pledge.
	Duration time.Duration `yaml:"duration"`
	// HeartbeatInterval is the time between lease renewals.
	HeartbeatInterval time.Duration `yaml:"heartbeat_interval"`
	// RetryInterval is the time after which an unanswered heartbeat is sent again.
	RetryInterval time.Duration `yaml:"retry_interval"`
	// DriftPPM is the assumed bound on the rate difference of two clocks, in
	// parts per million.
	DriftPPM int64 `yaml:"drift_ppm"`
	// TargetMargin is the time before the end of a lease at which work must be
	// finished at targets that do not check fencing tokens.
	TargetMargin time.Duration `yaml:"target_margin"`
	// BlindLimit is the longest time that a leader grants leases without having
	// read the log up to its end.
	BlindLimit time.Duration `yaml:"blind_limit"`
	// SnapshotInterval is the longest time between snapshots in a stream.
	SnapshotInterval time.Duration `yaml:"snapshot_interval"`
	// DrainLimit is the longest time that a planned stop waits for work in flight.
	DrainLimit time.Duration `yaml:"drain_limit"`
}

const (
	minLease      = 300 * time.Millisecond
	maxLease      = time.Minute
	minInterval   = 10 * time.Millisecond
	minDriftPPM   = 1
	maxDriftPPM   = 100_000
	minBlindLimit = 10 * time.Second
	maxBlindLimit = 30 * 24 * time.Hour
	minSnapshot   = time.Second
	maxSnapshot   = 30 * 24 * time.Hour
	maxDrain      = time.Hour

	// heartbeatsPerLease is the least number of heartbeats within a lease, so
	// that one lost message costs no lease.
	heartbeatsPerLease = 2
	// snapshotsPerRetention is the least number of snapshots within the log's
	// retention time, so that one missed snapshot costs no record.
	snapshotsPerRetention = 2
)

func (l *Lease) check(c *yamlfile.Checker, retention time.Duration) {
	c.Duration("lease.duration", l.Duration, minLease, maxLease)
	l.checkIntervals(c)
	c.Int("lease.drift_ppm", l.DriftPPM, minDriftPPM, maxDriftPPM, "parts per million")
	c.Duration("lease.target_margin", l.TargetMargin, 0, l.Duration)
	c.Duration("lease.blind_limit", l.BlindLimit, minBlindLimit, maxBlindLimit)
	c.Duration("lease.drain_limit", l.DrainLimit, 0, maxDrain)
	l.checkSnapshot(c, retention)
}

func (l *Lease) checkIntervals(c *yamlfile.Checker) {
	most := l.Duration / heartbeatsPerLease
	if !c.Duration("lease.heartbeat_interval", l.HeartbeatInterval, minInterval, most) {
		return
	}
	c.Duration("lease.retry_interval", l.RetryInterval, minInterval, l.HeartbeatInterval)
}

func (l *Lease) checkSnapshot(c *yamlfile.Checker, retention time.Duration) {
	if !c.Duration("lease.snapshot_interval", l.SnapshotInterval, minSnapshot, maxSnapshot) {
		return
	}
	if l.SnapshotInterval*snapshotsPerRetention > retention {
		c.Fail("lease.snapshot_interval",
			fmt.Sprintf("%v is more than half of platform_log.retention (%v), so records could expire before a snapshot covers them", l.SnapshotInterval, retention),
			fmt.Sprintf("write at most %v, or raise the log's retention", retention/snapshotsPerRetention))
	}
}

package settings

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/yamlfile"
)

// Lease holds the parameters of ownership. The values must be the same for all
// daemons of a cell.
type Lease struct {
	// Duration is the maximum duration of a lease on a range, and the duration of
	// the leader lease that the deputy grants to the leader.
	Duration time.Duration `yaml:"duration"`
	// HeartbeatInterval is the time between lease renewals.
	HeartbeatInterval time.Duration `yaml:"heartbeat_interval"`
	// RetryInterval is the time after which an unanswered heartbeat is sent again.
	RetryInterval time.Duration `yaml:"retry_interval"`
	// DriftPPM is the assumed upper bound on the difference in rate of two clocks,
	// in parts per million.
	DriftPPM int64 `yaml:"drift_ppm"`
	// TargetMargin is how long before the expiry of a lease requests must have
	// finished at targets that do not check fencing tokens.
	TargetMargin time.Duration `yaml:"target_margin"`
	// MaxLogStaleness is the longest time for which a leader grants leases without
	// having read the log up to its end.
	MaxLogStaleness time.Duration `yaml:"blind_limit"`
	// SnapshotInterval is the maximum time between snapshots in a stream.
	SnapshotInterval time.Duration `yaml:"snapshot_interval"`
	// DrainLimit is the longest time for which a planned stop waits for requests in
	// progress.
	DrainLimit time.Duration `yaml:"drain_limit"`
}

const (
	minLease          = 300 * time.Millisecond
	maxLease          = time.Minute
	minInterval       = 10 * time.Millisecond
	minDriftPPM       = 1
	maxDriftPPM       = 100_000
	minStalenessLimit = 10 * time.Second
	maxStalenessLimit = 30 * 24 * time.Hour
	minSnapshot       = time.Second
	maxSnapshot       = 30 * 24 * time.Hour
	maxDrain          = time.Hour

	// minHeartbeatsPerLease is the minimum number of heartbeats within a lease, so
	// that one lost message does not expire it.
	minHeartbeatsPerLease = 2
	// minSnapshotsPerRetention is the minimum number of snapshots within the log's
	// retention time, so that one missed snapshot does not lose records.
	minSnapshotsPerRetention = 2
)

func (l *Lease) check(c *yamlfile.Checker, retention time.Duration) {
	c.Duration("lease.duration", l.Duration, minLease, maxLease)
	l.checkIntervals(c)
	c.Int("lease.drift_ppm", l.DriftPPM, minDriftPPM, maxDriftPPM, "parts per million")
	c.Duration("lease.target_margin", l.TargetMargin, 0, l.Duration)
	c.Duration("lease.blind_limit", l.MaxLogStaleness, minStalenessLimit, maxStalenessLimit)
	c.Duration("lease.drain_limit", l.DrainLimit, 0, maxDrain)
	l.checkSnapshot(c, retention)
}

func (l *Lease) checkIntervals(c *yamlfile.Checker) {
	maxInterval := l.Duration / minHeartbeatsPerLease
	if !c.Duration("lease.heartbeat_interval", l.HeartbeatInterval, minInterval, maxInterval) {
		return
	}
	c.Duration("lease.retry_interval", l.RetryInterval, minInterval, l.HeartbeatInterval)
}

func (l *Lease) checkSnapshot(c *yamlfile.Checker, retention time.Duration) {
	if !c.Duration("lease.snapshot_interval", l.SnapshotInterval, minSnapshot, maxSnapshot) {
		return
	}
	if l.SnapshotInterval*minSnapshotsPerRetention > retention {
		c.Fail("lease.snapshot_interval",
			fmt.Sprintf("%v is more than half of platform_log.retention (%v), so records could expire before a snapshot covers them", l.SnapshotInterval, retention),
			fmt.Sprintf("write at most %v, or raise the log's retention", retention/minSnapshotsPerRetention))
	}
}

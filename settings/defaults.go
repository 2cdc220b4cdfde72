package settings

import "time"

// Defaults returns the values of settings that a file does not set.
func Defaults() *Daemon {
	return &Daemon{
		Log:      Log{Retention: 24 * time.Hour},
		Lease:    defaultLease(),
		Balance:  Balance{Interval: 5 * time.Second, MaxRanges: 256},
		Limits:   defaultLimits(),
		LogLevel: LogInfo,
	}
}

func defaultLease() Lease {
	return Lease{
		Duration:          2 * time.Second,
		HeartbeatInterval: 850 * time.Millisecond,
		RetryInterval:     150 * time.Millisecond,
		DriftPPM:          500,
		TargetMargin:      500 * time.Millisecond,
		MaxLogStaleness:   24 * time.Hour,
		SnapshotInterval:  6 * time.Hour,
		DrainLimit:        30 * time.Second,
	}
}

func defaultLimits() Limits {
	return Limits{
		RequestBytes:  1 << 20,
		ResponseBytes: 8 << 20,
		KeyBytes:      256,
		CallerConns:   10_000,
		InFlight:      10_000,
	}
}

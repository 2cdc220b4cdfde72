package config

import (
	"math/rand/v2"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// recordFirst uses the append time of the first record read as the start of the
// snapshot interval if no snapshot has been read yet.
func (s *snapshotControl) recordFirst(recordTime int64) {
	if s.lastTime == 0 {
		s.lastTime = recordTime
	}
}

// recordSnapshot records the append time of a snapshot that was read and
// unschedules the append of another one.
func (s *snapshotControl) recordSnapshot(recordTime int64) {
	s.seen = true
	s.lastTime = max(s.lastTime, recordTime)
	s.appendAt = clock.Never
}

// age returns the time since the newest snapshot, relative to the log's clock.
func (s *snapshotControl) age(now clock.Time) time.Duration {
	return time.Duration(s.lastReadWall-s.lastTime) + now.Sub(s.lastReadAt)
}

func (c *Core) decideSnapshot(now clock.Time, eff *Effects) {
	s := &c.snapshots
	if s.inFlight || !c.mayAppendSnapshot() {
		return
	}
	if s.appendAt == clock.Never {
		s.appendAt = now.Add(max(c.params.SnapshotInterval-s.age(now), 0) + jitter(c.rng, c.params.SnapshotJitter))
		return
	}
	if now.Before(s.appendAt) {
		return
	}
	if left := c.params.SnapshotInterval - s.age(now); left > 0 {
		s.appendAt = now.Add(left)
		return
	}
	payload, err := c.state.Snapshot().encode(KindSnapshot, c.params.Author, c.rng.Uint64())
	if err != nil {
		c.fault = err
		return
	}
	s.inFlight = true
	eff.AppendSnapshot = payload
}

// mayAppendSnapshot reports whether the daemon has applied the stream up to its
// end. Only daemons that read the log append snapshots.
func (c *Core) mayAppendSnapshot() bool {
	return c.readsLog && c.ready && c.replay == nil && !c.reads.lastFailed && c.state.covered > 0
}

// onSnapshotDone schedules another append in case the snapshot is not read back
// from the log. A duplicate snapshot is harmless.
func (c *Core) onSnapshotDone(now clock.Time) {
	c.snapshots.inFlight = false
	if c.snapshots.appendAt != clock.Never {
		c.snapshots.appendAt = now.Add(c.params.RetryInterval + jitter(c.rng, c.params.SnapshotJitter))
	}
}

func jitter(rng *rand.Rand, most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(most)))
}

func isSnapshot(payload []byte) bool {
	c, err := DecodeChange(payload)
	return err == nil && c.Kind == KindSnapshot
}

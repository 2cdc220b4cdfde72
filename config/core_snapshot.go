package config

import (
	"math/rand/v2"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// noteFirst takes the time of the first record that is read as that from which
// the age of the state counts.
func (s *snapshotControl) noteFirst(recordTime int64) {
	if s.last == 0 {
		s.last = recordTime
	}
}

// note takes the time of a snapshot that was read.
func (s *snapshotControl) note(recordTime int64) {
	s.seen = true
	s.last = max(s.last, recordTime)
	s.at = clock.Never
}

// age is the time since the newest snapshot, by the log's clock.
func (s *snapshotControl) age(now clock.Time) time.Duration {
	return time.Duration(s.wall-s.last) + now.Sub(s.wallAt)
}

func (c *Core) decideSnapshot(now clock.Time, eff *Effects) {
	s := &c.snapshots
	if s.inFlight || !c.mayAppendSnapshot() {
		return
	}
	if s.at == clock.Never {
		s.at = now.Add(max(c.params.SnapshotInterval-s.age(now), 0) + jitter(c.rng, c.params.SnapshotJitter))
		return
	}
	if now.Before(s.at) {
		return
	}
	if left := c.params.SnapshotInterval - s.age(now); left > 0 {
		s.at = now.Add(left)
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

// mayAppendSnapshot reports whether the daemon knows the stream to its end.
// Only daemons that read the log append snapshots.
func (c *Core) mayAppendSnapshot() bool {
	return c.readsLog && c.ready && c.replay == nil && !c.reads.failing && c.state.covered > 0
}

// onSnapshotDone waits for the snapshot to be read; if it does not show up, it
// is appended again, since a duplicate is harmless.
func (c *Core) onSnapshotDone(now clock.Time) {
	c.snapshots.inFlight = false
	if c.snapshots.at != clock.Never {
		c.snapshots.at = now.Add(c.params.RetryInterval + jitter(c.rng, c.params.SnapshotJitter))
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

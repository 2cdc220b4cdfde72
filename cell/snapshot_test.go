package cell

import (
	"errors"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

// withSnapshots returns a cell that writes snapshots, so that a test can truncate
// its stream.
func withSnapshots(t *testing.T) *sim {
	s := newSim(t, 0)
	for _, name := range []string{"t1", "t2", "t3"} {
		cfg := testConfig(name, 1)
		cfg.SnapshotInterval = 20 * time.Second
		s.start(cfg)
	}
	s.run(5 * time.Second)
	return s
}

// snapshots returns the number of snapshots, and how many records the newest
// one covers.
func snapshots(s *sim) (count, covered int) {
	for _, rec := range s.records {
		if r, err := DecodeRecord(rec.Payload); err == nil && r.Snapshot != nil {
			count++
			covered = int(r.Snapshot.Covered)
		}
	}
	return count, covered
}

func TestSnapshotsComeWithinTheInterval(t *testing.T) {
	s := withSnapshots(t)
	s.run(60 * time.Second)
	count, _ := snapshots(s)
	if count < 3 || count > 9 {
		t.Errorf("%d snapshots in a minute at an interval of 20 s", count)
	}
}

func TestStartFromSnapshotAndTail(t *testing.T) {
	s := withSnapshots(t)
	s.run(30 * time.Second)
	_, covered := snapshots(s)
	s.truncated = covered
	s.start(testConfig("t4", 1))
	s.runUntil(20*time.Second, func() bool { return len(s.proc("t4").held) > 0 })
	if err := s.proc("t4").err; err != nil {
		t.Errorf("error %v", err)
	}
	s.requireSingleHolder()
}

func TestTruncatedStreamWithoutSnapshotIsAnError(t *testing.T) {
	s := stableCell(t, 3)
	s.truncated = len(s.records)
	before := len(s.records)
	s.start(testConfig("t4", 1))
	s.run(time.Second)
	var truncated *StreamTruncatedError
	if err := s.proc("t4").err; !errors.As(err, &truncated) {
		t.Errorf("got error %v", err)
	}
	s.run(10 * time.Second)
	for _, rec := range s.records[before:] {
		r, err := DecodeRecord(rec.Payload)
		if err != nil || r.Claim != nil || r.Announce != nil {
			t.Errorf("the reader of a truncated stream appended the record %s", describeRecord(r))
		}
	}
	s.requireSingleHolder()
}

// The log is unavailable for longer than its retention.
func TestOutageLongerThanRetention(t *testing.T) {
	s := withSnapshots(t)
	s.run(30 * time.Second)
	s.logDown = true
	s.run(30 * time.Second)
	s.truncated = len(s.records)
	s.logDown = false
	s.run(30 * time.Second)
	if !s.covered() || s.expirations() > 0 {
		t.Errorf("covered %v, %d expired leases", s.covered(), s.expirations())
	}
	s.start(testConfig("t4", 1))
	s.runUntil(20*time.Second, func() bool { return len(s.proc("t4").held) > 0 })
	s.requireSingleHolder()
}

// A running member that has been cut off from the log for longer than its
// retention must continue from a snapshot.
func TestMemberCutOffForLongerThanRetention(t *testing.T) {
	for _, role := range []string{"leader", "deputy", "plain"} {
		s := withSnapshots(t)
		p := map[string]*simProc{"plain": s.plainProc(), "leader": s.leaderProc(), "deputy": s.deputyProc()}[role]
		id := p.id.Instance
		s.logCut = func(node ident.Instance) bool { return node == id }
		s.run(40 * time.Second)
		_, covered := snapshots(s)
		s.truncated = covered
		s.logCut = nil
		s.run(20 * time.Second)
		if !s.covered() || p.err != nil {
			t.Errorf("%s: covered %v, error %v", role, s.covered(), p.err)
		}
		s.requireSingleHolder()
	}
}

func TestNewerRecordStopsTheReaderWithAnError(t *testing.T) {
	s := stableCell(t, 3)
	newer := Record{Intent: &Intent{}}
	s.appendRecord(newer)
	s.records[len(s.records)-1].Payload[1] = Version + 1
	s.run(2 * time.Second)
	var version *VersionError
	if err := s.plainProc().err; !errors.As(err, &version) {
		t.Errorf("got error %v", err)
	}
	s.run(2 * time.Minute)
	s.requireSingleHolder()
	if s.covered() {
		t.Error("a leader that cannot read the stream grants leases beyond the maximum log staleness")
	}
}

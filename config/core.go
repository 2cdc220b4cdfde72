package config

import (
	"math/rand/v2"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Core is the state machine that follows the configuration in one daemon. It
// does no I/O. Step must be called by one goroutine at a time.
type Core struct {
	params Parameters
	rng    *rand.Rand

	state    *State  // nil until the configuration is known
	replay   *replay // not nil while the state is rebuilt from the records that the log still holds
	inForce  *InForce
	recent   []RawRecord
	ready    bool
	readsLog bool
	fault    error

	reads     readControl
	peers     peerControl
	snapshots snapshotControl
}

// readControl schedules the reads of the log.
type readControl struct {
	inFlight   bool
	from       platformlog.Offset
	end        platformlog.Offset // offset of the last record of the stream at the newest read
	next       clock.Time         // earliest time of the next read
	lastFailed bool               // the last read failed
}

// peerControl selects peers to pull from.
type peerControl struct {
	nodes       []ident.Node
	offsets     map[ident.Node]platformlog.Offset // newest offset that each peer reported
	roundRobin  int                               // index in nodes at which the next selection starts
	inFlight    bool
	next        clock.Time // earliest time of the next pull
	behindSince clock.Time // time since which a peer has been ahead; clock.Never if none is
}

// snapshotControl decides when a snapshot is appended.
type snapshotControl struct {
	seen         bool       // a snapshot has been read
	lastTime     int64      // append time of the newest snapshot or first record, Unix nanoseconds
	lastReadWall int64      // wall-clock time of the last read, Unix nanoseconds
	lastReadAt   clock.Time // monotonic time of the last read
	appendAt     clock.Time // time to append a snapshot if none is read before; clock.Never if not scheduled
	inFlight     bool
}

// NewCore returns the state machine of a daemon that has just started.
func NewCore(params Parameters) *Core {
	return &Core{
		params:   params,
		rng:      rand.New(rand.NewPCG(params.Seed, params.Seed)),
		replay:   &replay{schema: Schema},
		readsLog: true,
		reads:    readControl{from: 1},
		peers:    peerControl{offsets: map[ident.Node]platformlog.Offset{}},
	}
}

// Step handles one event at the monotonic time now and returns what the driver
// must do.
func (c *Core) Step(ev Event, now clock.Time) Effects {
	var eff Effects
	switch ev := ev.(type) {
	case LogRead:
		c.onRead(ev, now, &eff)
	case LogFailed:
		c.onReadFailed(now)
	case LogTruncated:
		c.onLogTruncated(ev, now)
	case PeerOffset:
		c.onPeerOffset(ev)
	case Peers:
		c.onPeers(ev)
	case ReadsLog:
		c.onReadsLog(ev, now)
	case Pulled:
		c.onPulled(ev, now, &eff)
	case PullFailed:
		c.onPullFailed(ev, now)
	case SnapshotDone:
		c.onSnapshotDone(now)
	}
	c.decideRead(now, &eff)
	c.decidePull(now, &eff)
	c.decideSnapshot(now, &eff)
	eff.Fault = c.fault
	eff.Wake = c.wake()
	return eff
}

// activate puts the state in force if it is newer than the one in force. An
// older state is rejected with a RevertError.
func (c *Core) activate(eff *Effects) {
	if c.inForce != nil && c.inForce.Offset == c.state.covered && c.inForce.Ready == c.ready {
		return
	}
	if c.inForce != nil && c.state.covered < c.inForce.Offset {
		c.fault = &RevertError{InForce: c.inForce.Offset, Offered: c.state.covered}
		return
	}
	c.inForce = newInForce(c.state, c.ready, c.recentUpTo(c.state.covered), c.inForce)
	eff.InForce = c.inForce
}

// nextOffset returns the offset of the first record that has not been applied.
func (c *Core) nextOffset() platformlog.Offset {
	if c.state == nil {
		return 1
	}
	return c.state.Next()
}

// addRecent keeps the newest records for pulls of peers. Slices returned earlier
// by recentUpTo are not modified.
func (c *Core) addRecent(rec platformlog.Record) {
	n := len(c.recent)
	if n > 0 && c.recent[n-1].Offset+1 != rec.Offset {
		c.recent = nil
	}
	c.recent = append(c.recent, RawRecord{Offset: rec.Offset, Time: rec.Time, Payload: rec.Payload})
	if len(c.recent) > 2*recentLimit {
		c.recent = append([]RawRecord(nil), c.recent[len(c.recent)-recentLimit:]...)
	}
}

// recentUpTo returns the newest records, or nil if the last one is not at offset
// covered.
func (c *Core) recentUpTo(covered platformlog.Offset) []RawRecord {
	n := len(c.recent)
	if n == 0 || c.recent[n-1].Offset != covered {
		return nil
	}
	return c.recent[:n:n]
}

// wake returns the earliest time at which a read, a pull or a snapshot may
// become due.
func (c *Core) wake() clock.Time {
	wake := clock.Time(0)
	earlier := func(t clock.Time) {
		if t != clock.Never && (wake == 0 || t.Before(wake)) {
			wake = t
		}
	}
	if !c.reads.inFlight {
		earlier(c.reads.next)
	}
	if !c.peers.inFlight {
		earlier(c.pullTime())
	}
	if !c.snapshots.inFlight {
		earlier(c.snapshots.appendAt)
	}
	return wake
}

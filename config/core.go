package config

import (
	"math/rand/v2"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Core is the state machine of one daemon's configuration. Step must be called
// by one goroutine at a time.
type Core struct {
	params Parameters
	rng    *rand.Rand

	state    *State  // nil until the configuration is known
	replay   *replay // not nil while the state is built from what the log holds
	inForce  *InForce
	recent   []RawRecord
	ready    bool
	readsLog bool
	fault    error

	reads     readControl
	peers     peerControl
	snapshots snapshotControl
}

// readControl paces the reads of the log.
type readControl struct {
	inFlight bool
	from     platformlog.Offset
	end      platformlog.Offset // last record of the stream as of the newest read
	next     clock.Time         // earliest time of the next read
	failing  bool               // the last read failed
}

// peerControl chooses peers to pull from.
type peerControl struct {
	nodes    []ident.Node
	seen     map[ident.Node]platformlog.Offset
	turn     int
	inFlight bool
	next     clock.Time // earliest time of the next pull
	behind   clock.Time // since when a peer has been ahead; clock.Never if none is
}

// snapshotControl decides when a snapshot is appended.
type snapshotControl struct {
	seen     bool       // a snapshot was read
	last     int64      // append time of the newest snapshot or first record, Unix nanoseconds
	wall     int64      // wall-clock time at the last read
	wallAt   clock.Time // local time of that read
	at       clock.Time // when to append if it is still due; clock.Never if none is planned
	inFlight bool
}

// NewCore returns the state machine of a daemon that has just started.
func NewCore(params Parameters) *Core {
	return &Core{
		params:   params,
		rng:      rand.New(rand.NewPCG(params.Seed, params.Seed)),
		replay:   &replay{schema: Schema},
		readsLog: true,
		reads:    readControl{from: 1},
		peers:    peerControl{seen: map[ident.Node]platformlog.Offset{}},
	}
}

// Step handles one event at the local time now and returns what the driver
// must do.
func (c *Core) Step(ev Event, now clock.Time) Effects {
	var eff Effects
	switch ev := ev.(type) {
	case LogRead:
		c.onRead(ev, now, &eff)
	case LogFailed:
		c.onReadFailed(now)
	case LogGap:
		c.onGap(ev, now)
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

// publish puts the state into force if it is newer than the one in force.
func (c *Core) publish(eff *Effects) {
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

// next is the offset of the first record that is not known yet.
func (c *Core) next() platformlog.Offset {
	if c.state == nil {
		return 1
	}
	return c.state.Next()
}

// remember keeps the newest records for peers. Slices handed out earlier stay
// as they are.
func (c *Core) remember(rec platformlog.Record) {
	n := len(c.recent)
	if n > 0 && c.recent[n-1].Offset+1 != rec.Offset {
		c.recent = nil
	}
	c.recent = append(c.recent, RawRecord{Offset: rec.Offset, Time: rec.Time, Payload: rec.Payload})
	if len(c.recent) > 2*recentLimit {
		c.recent = append([]RawRecord(nil), c.recent[len(c.recent)-recentLimit:]...)
	}
}

// recentUpTo returns the newest records if they end at covered.
func (c *Core) recentUpTo(covered platformlog.Offset) []RawRecord {
	n := len(c.recent)
	if n == 0 || c.recent[n-1].Offset != covered {
		return nil
	}
	return c.recent[:n:n]
}

// wake is the earliest time at which one of the decisions may change.
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
		earlier(c.snapshots.at)
	}
	return wake
}

package config

import (
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/platformlog"
)

func (c *Core) decideRead(now clock.Time, eff *Effects) {
	if c.reads.inFlight || now.Before(c.reads.next) {
		return
	}
	c.reads.inFlight = true
	eff.Read = &Read{From: c.reads.from, Limit: c.params.ReadLimit}
}

func (c *Core) onRead(ev LogRead, now clock.Time, eff *Effects) {
	c.reads.inFlight = false
	c.reads.failing = false
	c.snapshots.wall = ev.Wall
	c.snapshots.wallAt = now
	c.reads.end = max(c.reads.end, ev.Batch.Next-1)
	if ev.From != c.reads.from {
		// A peer's answer has overtaken the read.
		c.reads.next = now
		return
	}
	for _, rec := range ev.Batch.Records {
		c.take(rec, eff)
		c.reads.from = rec.Offset + 1
	}
	if !ev.Batch.AtTail(ev.From) {
		c.reads.next = now
		return
	}
	c.atTail(ev, now, eff)
}

// take folds the next record of the log.
func (c *Core) take(rec platformlog.Record, eff *Effects) {
	if c.replay == nil && rec.Offset < c.state.Next() {
		return
	}
	if c.replay == nil && rec.Offset == c.state.Next() {
		c.apply(rec, eff)
		return
	}
	if c.replay == nil {
		c.replay = &replay{schema: Schema}
	}
	c.snapshots.noteFirst(rec.Time)
	if isSnapshot(rec.Payload) {
		c.snapshots.note(rec.Time)
	}
	c.remember(rec)
	if st := c.replay.add(rec); st != nil {
		c.state = st
		c.replay = nil
	}
}

func (c *Core) apply(rec platformlog.Record, eff *Effects) {
	c.snapshots.noteFirst(rec.Time)
	v := c.state.Apply(rec.Offset, rec.Time, rec.Payload)
	if v.Outcome == SnapshotRecord {
		c.snapshots.note(rec.Time)
	}
	c.remember(rec)
	if c.ready {
		eff.Verdicts = append(eff.Verdicts, v)
	}
}

func (c *Core) atTail(ev LogRead, now clock.Time, eff *Effects) {
	c.reads.next = now.Add(c.pollInterval())
	if c.replay != nil && ev.Batch.Next == 1 {
		c.state = NewState(Schema)
		c.replay = nil
	}
	if c.replay != nil {
		c.fault = &TruncatedError{Earliest: ev.Batch.Earliest}
		return
	}
	c.fault = nil
	c.ready = true
	c.publish(eff)
}

func (c *Core) onReadFailed(now clock.Time) {
	c.reads.inFlight = false
	c.reads.failing = true
	c.reads.next = now.Add(c.params.RetryInterval)
}

// onGap starts again from the oldest record kept. The state in force stays in
// force meanwhile.
func (c *Core) onGap(ev LogGap, now clock.Time) {
	c.reads.inFlight = false
	c.reads.failing = false
	c.reads.next = now
	if ev.From != c.reads.from {
		return
	}
	c.reads.from = ev.Earliest
	c.replay = &replay{schema: Schema}
	c.recent = nil
}

func (c *Core) onReadsLog(ev ReadsLog, now clock.Time) {
	if ev.On && !c.readsLog {
		c.reads.next = now
	}
	c.readsLog = ev.On
}

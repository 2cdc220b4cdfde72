package sidecar

import (
	"context"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/platform"
)

func (d *Daemon) directoryFollower() *follower {
	return &follower{
		store: d.store, partition: d.directory, log: d.log, pollTime: d.directoryPollTime,
		awaitRead: func(ctx context.Context) metastore.Offset {
			d.directoryPolled.idle()
			from := d.awaitDirectoryRead(ctx)
			d.directoryPolled.begins(from)
			return from
		},
		apply: func(from metastore.Offset, b metastore.Batch, sent clock.Time, snapshot bool) {
			d.directoryPolled.read(b, snapshot)
			d.control.do(func() { d.control.applyDirectory(from, b, sent, snapshot) })
		},
	}
}

// unkeyedReadInterval is the longest time between reads of the directory by a daemon
// that gets its records from others and has no lease to confirm.
const unkeyedReadInterval = time.Minute

// awaitDirectoryRead waits while another daemon reads the directory and forwards
// records to this one, for at most about twice the time of a read of an idle
// partition, or longer if no lease depends on reads. It returns the offset after the
// newest applied record.
func (d *Daemon) awaitDirectoryRead(ctx context.Context) metastore.Offset {
	c := d.control
	if clock.Now().Sub(d.started) < startupPeriod {
		sleep(ctx, startupReadInterval)
	}
	_, laterEra := d.store.Era()
	longest := 2 * d.idlePollTime(maxPoll)
	if !d.ownServiceKeyed() {
		longest = 2 * d.idlePollTime(unkeyedReadInterval/2)
	}
	for end := clock.Now().Add(jittered(longest)); !c.readsDirectory.Load() && clock.Now().Before(end) && ctx.Err() == nil; {
		select {
		case <-laterEra:
			return metastore.Offset(c.appliedShared.Load())
		default:
		}
		sleep(ctx, readerCheckInterval)
	}
	return metastore.Offset(c.appliedShared.Load())
}

// ownServiceKeyed reports whether the service of the local target is divided by key, or
// is not known yet.
func (d *Daemon) ownServiceKeyed() bool {
	v := d.control.view.Load()
	if v.routes == nil {
		return true
	}
	s, ok := v.routes.Service(d.settings().Service)
	return !ok || s.Keyed
}

func (d *Daemon) configurationFollower() *follower {
	partition, _ := platform.ConfigurationPartition()
	return &follower{
		store: d.store, partition: partition, log: d.log, pollTime: func() time.Duration { return configurationPoll },
		apply: func(_ metastore.Offset, b metastore.Batch, sent clock.Time, snapshot bool) {
			d.configurationPolled.read(b, snapshot)
			d.control.do(func() { d.control.configurationRead(b, sent, fromStorePoll, snapshot) })
		},
	}
}

// idlePollTime returns how long a read of an idle partition waits. It grows with
// the number of daemons, since their statuses and forwarded records cover the time
// between reads.
func (d *Daemon) idlePollTime(longest time.Duration) time.Duration {
	n := d.control.view.Load().daemons
	return min(max(time.Duration(float64(n)/fleetPollRate*float64(time.Second)), minPoll), longest)
}

// directoryPollTime returns how long the next read of the directory waits: not at all
// if another daemon forwards records to this one, and only lowLeasePoll if the lease
// depends on reads.
func (d *Daemon) directoryPollTime() time.Duration {
	if !d.control.readsDirectory.Load() {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	extended := false
	if d.control.doAndWait(ctx, func() {
		extended = !d.control.keyed() || d.control.agent.KeptByExtensions(d.control.otherMembers(), clock.Now())
	}) && extended {
		return d.idlePollTime(maxPoll)
	}
	return lowLeasePoll
}

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
		store: d.store, partition: d.directory, log: d.log, wait: d.directoryWait,
		pause: d.directoryPause,
		take: func(from metastore.Offset, b metastore.Batch, sent clock.Time, whole bool) {
			d.control.do(func() { d.control.takeDirectory(from, b, sent, whole) })
		},
	}
}

// directoryPause waits while other daemons follow the directory for this one,
// at most for the time that a read of a quiet partition may take.
func (d *Daemon) directoryPause(ctx context.Context) metastore.Offset {
	c := d.control
	if clock.Now().Sub(d.started) < startTime {
		sleep(ctx, startGap)
	}
	for end := clock.Now().Add(jittered(2 * d.quietWait(maxPoll))); !c.follows.Load() && clock.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, followCheck)
	}
	return metastore.Offset(c.known.Load())
}

func (d *Daemon) configurationFollower() *follower {
	partition, key := platform.ConfigurationPartition()
	return &follower{
		store: d.store, partition: partition, log: d.log, wait: func() time.Duration { return d.quietWait(maxConfigurationPoll) },
		take: func(_ metastore.Offset, b metastore.Batch, _ clock.Time, _ bool) {
			for i := range b.Records {
				if r := &b.Records[i]; r.Key == key {
					d.control.do(func() { d.control.takeConfiguration(r.Value) })
				}
			}
		},
	}
}

// quietWait is how long a read of a quiet partition waits: the more daemons,
// the longer, since each tells the others what it reads.
func (d *Daemon) quietWait(longest time.Duration) time.Duration {
	n := d.control.view.Load().daemons
	return min(max(time.Duration(float64(n)/pollRate*float64(time.Second)), minPoll), longest)
}

func (d *Daemon) directoryWait() time.Duration {
	if !d.control.follows.Load() {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	calm := false
	if d.control.ask(ctx, func() { calm = !d.control.keyed() || d.control.agent.KeptByPromises(d.control.others(), clock.Now()) }) && calm {
		return d.quietWait(maxPoll)
	}
	return anxiousPoll
}

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
		take: func(b metastore.Batch, sent clock.Time, whole bool) {
			d.control.do(func() { d.control.takeDirectory(b, sent, whole) })
		},
	}
}

func (d *Daemon) configurationFollower() *follower {
	partition, key := platform.ConfigurationPartition()
	return &follower{
		store: d.store, partition: partition, log: d.log, wait: d.quietWait,
		take: func(b metastore.Batch, _ clock.Time, _ bool) {
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
func (d *Daemon) quietWait() time.Duration {
	n := d.control.view.Load().daemons
	return min(max(time.Duration(float64(n)/pollRate*float64(time.Second)), minPoll), maxPoll)
}

func (d *Daemon) directoryWait() time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	calm := false
	if d.control.ask(ctx, func() { calm = !d.control.keyed() || d.control.agent.KeptByPromises(d.control.others(), clock.Now()) }) && calm {
		return d.quietWait()
	}
	return anxiousPoll
}

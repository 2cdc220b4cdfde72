package sidecar

import (
	"math"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/metastore"
)

// pollGrace is the time that a long poll may take to return records which another read
// has found.
const pollGrace = 400 * time.Millisecond

// pollProgress is the offset up to which a follower has read a partition, or that its
// read in progress starts at.
type pollProgress struct{ next atomic.Int64 }

// idle records that no read is in progress, so that none can miss records.
func (p *pollProgress) idle() { p.next.Store(math.MaxInt64) }

// begins records that a read from an offset starts.
func (p *pollProgress) begins(from metastore.Offset) { p.next.Store(int64(from)) }

// read records what a follower has read.
func (p *pollProgress) read(b metastore.Batch, snapshot bool) {
	switch n := len(b.Records); {
	case snapshot:
		p.next.Store(int64(b.End))
	case n > 0:
		p.next.Store(int64(b.Records[n-1].Offset + 1))
	}
}

// expectPolled replaces the connections to the store if the long poll has not returned
// the records of another read within pollGrace: its connection delivers nothing then.
func (d *Daemon) expectPolled(p *pollProgress, found metastore.Batch) {
	n := len(found.Records)
	if n == 0 {
		return
	}
	end := int64(found.Records[n-1].Offset + 1)
	time.AfterFunc(pollGrace, func() {
		if p.next.Load() < end && d.storeLink.reachable() {
			logevent.Log(d.log, logevent.PollMissedRecords, zap.Int64("offset", end))
			d.storeTransport.Renew()
		}
	})
}

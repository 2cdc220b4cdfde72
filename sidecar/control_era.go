package sidecar

import (
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/metastore"
)

// era returns the era of the store in which the directory was read.
func (c *control) era() metastore.Era { return c.applied.Era() }

// enterEra prepares for the newest records of the directory in a later era. What the
// store contained since the copy was made is lost there, and offsets of earlier eras
// say nothing about the records of this one. Peers stay as their statuses and records
// have shown them: each daemon writes its own record again.
func (c *control) enterEra(era metastore.Era) {
	logevent.Log(c.log, logevent.EraEntered, zap.Uint32("era", uint32(era)), zap.Uint32("before", uint32(c.era())), zap.Int64("applied", c.applied.Position()))
	clear(c.keyOffsets)
	c.agent.Left()
	c.status.behindSince = clock.Never
	c.status.urgent = true
}

// writeSelfAgain writes the own record again if the newest records of a later era lack
// it. Members that started meanwhile do not know this instance if they lack any record
// of it, so it then joins anew.
func (c *control) writeSelfAgain(newest []metastore.Record) {
	for i := range newest {
		if newest[i].Key != memberPrefix+c.self.Instance {
			continue
		}
		m, err := fleet.DecodeMember(newest[i].Value)
		if err != nil || m.Removed {
			break // a removal was handled with the record
		}
		if c.self.Newer(m) {
			c.d.members.request(c.self)
		}
		return
	}
	c.self.JoinedMS = time.Now().UnixMilli()
	c.selfChanged()
}

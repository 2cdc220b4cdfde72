package sidecar

import (
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/ownertable"
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
	clear(c.reports)
	clear(c.crashes.stored)
	c.nextReport = clock.Never
	c.forgetRecord()
	c.enterAgentEra(era)
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

// enterAgentEra makes the agent enter an era. It grants only what the target may hold
// already until the first table of the era is in force.
func (c *control) enterAgentEra(era metastore.Era) {
	load := c.d.backend.load()
	self := c.candidate(&c.self, &load, false, true)
	c.agent.EnterEra(uint32(era), &self, clock.Now())
}

// applyOlderTable applies a table of an earlier era. It says who owned the keys. The
// view keeps the newest known table until the first one of the era is in force.
func (c *control) applyOlderTable(service ident.Service, t *ownertable.Table, offset metastore.Offset) {
	if service == ident.Service(c.self.Service) {
		c.agent.TableRead(t, uint64(offset), clock.Now())
	}
	if known := c.tables[service]; known == nil || known.LastToken() < t.LastToken() {
		c.tables[service] = t
		c.viewStale = true
	}
}

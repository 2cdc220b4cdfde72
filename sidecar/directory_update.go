package sidecar

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/metastore"
)

//msgp:tuple directoryUpdate updateRecord

// directoryUpdate forwards records of the directory to a daemon that does not read
// them itself.
type directoryUpdate struct {
	From    int64          `msg:"f"` // offset at which the read started
	Records []updateRecord `msg:"r"`
}

// updateRecord is one record of a directoryUpdate.
type updateRecord struct {
	Key    string `msg:"k"`
	Value  []byte `msg:"v"`
	Offset int64  `msg:"o"`
}

// forwardUpdates forwards records that this daemon has read from the store to the
// peers in fanOut.ForwardTo, which do not read the directory themselves.
func (c *control) forwardUpdates(from metastore.Offset, records []metastore.Record) {
	if len(records) == 0 || len(c.fanOut.ForwardTo) == 0 {
		return
	}
	body := encodeUpdate(from, records)
	for _, name := range c.fanOut.ForwardTo {
		p := c.dir.Peer(name)
		if p == nil || p.Offset > int64(records[len(records)-1].Offset) {
			continue
		}
		go c.d.forwardUpdate(p.Member.Addr, body)
	}
}

func encodeUpdate(from metastore.Offset, records []metastore.Record) []byte {
	update := directoryUpdate{From: int64(from)}
	for i := range records {
		r := &records[i]
		update.Records = append(update.Records, updateRecord{Key: r.Key, Value: r.Value, Offset: int64(r.Offset)})
	}
	body, err := update.MarshalMsg(nil)
	if err != nil {
		panic("sidecar: cannot encode directory update: " + err.Error())
	}
	return body
}

// forwardUpdate sends an encoded directoryUpdate to one daemon. If the call fails, the
// daemon detects from the offsets in later statuses that others have read further, and
// reads the store itself.
func (d *Daemon) forwardUpdate(addr string, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if _, err := d.peerLinks.Call(ctx, addr, callDirectoryUpdate, body); err != nil {
		logevent.Log(d.log, logevent.UpdateNotForwarded, zap.String("to", addr), zap.Error(err))
	}
}

// serveDirectoryUpdate applies an update that another daemon forwards.
func (d *Daemon) serveDirectoryUpdate(body []byte) error {
	var update directoryUpdate
	if _, err := update.UnmarshalMsg(body); err != nil {
		return fmt.Errorf("decode directory update: %w", err)
	}
	d.control.do(func() { d.control.applyForwarded(&update) })
	return nil
}

// applyForwarded applies forwarded records. An update that starts after the applied
// records is dropped, because the missing ones can only be read from the store, and so
// is one of another era.
// Forwarded records do not confirm the lease.
func (c *control) applyForwarded(update *directoryUpdate) {
	from := metastore.Offset(update.From)
	if !c.directoryLoaded || from > c.applied || from.Era() != c.era() || len(update.Records) == 0 {
		return
	}
	records := make([]metastore.Record, 0, len(update.Records))
	for i := range update.Records {
		r := &update.Records[i]
		records = append(records, metastore.Record{Key: r.Key, Value: r.Value, Offset: metastore.Offset(r.Offset)})
		c.applyRecord(&records[i])
	}
	c.history.add(from, records)
	c.advance(metastore.Offset(update.Records[len(update.Records)-1].Offset) + 1)
	c.agent.Applied(uint64(c.applied), clock.Never, false)
	c.plan(clock.Now())
}

// advance records that the directory is applied up to an offset.
func (c *control) advance(to metastore.Offset) {
	c.applied = max(c.applied, to)
	c.appliedShared.Store(int64(c.applied))
}

// updateFanOut recomputes whether this daemon reads the directory and to which
// peers it forwards updates.
func (c *control) updateFanOut() {
	var responding []ident.Instance
	for _, p := range c.dir.Peers() {
		if name := ident.Instance(p.Member.Instance); !c.suspected[name] {
			responding = append(responding, name)
		}
	}
	c.fanOut = fleet.NewFanout(ident.Instance(c.self.Instance), responding)
	c.readsDirectory.Store(c.fanOut.ReadsStore)
}

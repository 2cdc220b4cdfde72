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

//msgp:tuple newsCall newsRecord

// newsCall tells a daemon what was read from the directory.
type newsCall struct {
	From    int64        `msg:"f"` // where the read began
	Records []newsRecord `msg:"r"`
}

type newsRecord struct {
	Key    string `msg:"k"`
	Value  []byte `msg:"v"`
	Offset int64  `msg:"o"`
}

// tellNews passes on records that this daemon has read from the store, to those
// daemons that don't follow it themselves.
func (c *control) tellNews(from metastore.Offset, records []metastore.Record) {
	if len(records) == 0 || len(c.spread.Tells) == 0 {
		return
	}
	call := newsCall{From: int64(from)}
	for i := range records {
		r := &records[i]
		call.Records = append(call.Records, newsRecord{Key: r.Key, Value: r.Value, Offset: int64(r.Offset)})
	}
	body, err := call.MarshalMsg(nil)
	if err != nil {
		panic("sidecar: news can always be encoded: " + err.Error())
	}
	for _, name := range c.spread.Tells {
		p := c.dir.Peer(name)
		if p == nil || p.Offset > int64(records[len(records)-1].Offset) {
			continue
		}
		go c.d.tell(p.Member.Addr, body)
	}
}

// tell sends news to one daemon. One that doesn't get it sees that others are
// ahead and reads for itself.
func (d *Daemon) tell(addr string, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if _, err := d.links.Call(ctx, addr, callNews, body); err != nil {
		logevent.Log(d.log, logevent.UpdateNotForwarded, zap.String("to", addr), zap.Error(err))
	}
}

// serveNews takes news that another daemon has read.
func (d *Daemon) serveNews(body []byte) error {
	var call newsCall
	if _, err := call.UnmarshalMsg(body); err != nil {
		return fmt.Errorf("news: %w", err)
	}
	d.control.do(func() { d.control.takeNews(&call) })
	return nil
}

// takeNews applies records that follow what is known. A gap is left to a read.
func (c *control) takeNews(call *newsCall) {
	if !c.loaded || metastore.Offset(call.From) > c.read || len(call.Records) == 0 {
		return
	}
	for i := range call.Records {
		r := &call.Records[i]
		c.takeRecord(&metastore.Record{Key: r.Key, Value: r.Value, Offset: metastore.Offset(r.Offset)})
	}
	c.advance(metastore.Offset(call.Records[len(call.Records)-1].Offset) + 1)
	c.agent.Applied(uint64(c.read), clock.Never, false)
	c.plan(clock.Now())
}

// advance notes how far the directory is known.
func (c *control) advance(to metastore.Offset) {
	c.read = max(c.read, to)
	c.known.Store(int64(c.read))
}

// spreadNews decides anew who follows the store and who tells whom.
func (c *control) spreadNews() {
	var heard []ident.Instance
	for _, p := range c.dir.Peers() {
		if name := ident.Instance(p.Member.Instance); !c.silent[name] {
			heard = append(heard, name)
		}
	}
	c.spread = fleet.NewSpread(ident.Instance(c.self.Instance), heard)
	c.follows.Store(c.spread.Reads)
}

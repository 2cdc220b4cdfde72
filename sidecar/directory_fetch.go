package sidecar

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/metastore"
)

const (
	// recordFetchTimeout bounds the fetch of records from another daemon. The store is
	// read after it, within fetchTimeout.
	recordFetchTimeout = 300 * time.Millisecond
	// forwardedUpdateWait is how long a daemon that does not read the directory waits
	// for an update that others have applied. A reader forwards it to dozens of daemons,
	// and statuses of some of these arrive earlier.
	forwardedUpdateWait = 250 * time.Millisecond
)

var errRecordsNotKept = errors.New("this daemon does not keep the records from that offset on")

// peerAhead returns a daemon to fetch missing records of the directory from, one of the
// own zone if there is any, or nil.
func (c *control) peerAhead() *fleet.Peer {
	var near, far []*fleet.Peer
	for _, p := range c.dir.Peers() {
		offset := metastore.Offset(p.Offset)
		if offset <= c.applied || offset.Era() != c.era() || c.suspected[ident.Instance(p.Member.Instance)] {
			continue
		}
		if p.Member.Zone == c.self.Zone {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	switch {
	case len(near) > 0:
		return near[rand.IntN(len(near))]
	case len(far) > 0:
		return far[rand.IntN(len(far))]
	}
	return nil
}

// fetchRecords fetches the records of the directory from an offset on from another
// daemon, and from the store if that fails.
func (d *Daemon) fetchRecords(addr string, from metastore.Offset) {
	err := d.fetchRecordsFrom(addr, from)
	if err == nil {
		d.control.do(func() { d.control.status.fetching = false })
		return
	}
	logevent.Log(d.log, logevent.UpdateNotFetched, zap.String("from", addr), zap.Int64("offset", int64(from)), zap.Error(err))
	d.readDirectory()
}

func (d *Daemon) fetchRecordsFrom(addr string, from metastore.Offset) error {
	ctx, cancel := context.WithTimeout(context.Background(), recordFetchTimeout)
	defer cancel()
	body, err := d.peerLinks.Call(ctx, addr, callDirectoryRecords, msgp.AppendInt64(nil, int64(from)))
	if err != nil {
		return err
	}
	var update directoryUpdate
	if _, err := update.UnmarshalMsg(body); err != nil {
		return fmt.Errorf("decode directory records: %w", err)
	}
	d.control.do(func() { d.control.applyForwarded(&update) })
	return nil
}

// serveRecords returns the encoded records of the directory from an offset on.
func (d *Daemon) serveRecords(ctx context.Context, body []byte) ([]byte, error) {
	from, _, err := msgp.ReadInt64Bytes(body)
	if err != nil {
		return nil, fmt.Errorf("decode offset: %w", err)
	}
	var records []metastore.Record
	kept := false
	if !d.control.doAndWait(ctx, func() { records, kept = d.control.history.since(metastore.Offset(from)) }) || !kept {
		return nil, errRecordsNotKept
	}
	return encodeUpdate(metastore.Offset(from), records), nil
}

// catchUpDelay is how long another daemon may be ahead before the missing records are
// fetched.
func (c *control) catchUpDelay() time.Duration {
	if c.readsDirectory.Load() {
		return catchUpAfter
	}
	return forwardedUpdateWait
}

// startCatchUp fetches the missing records. A daemon that reads the directory reads them
// from the store, since its long poll is overdue. All others ask a daemon that is ahead,
// as the store would otherwise get a call of each of them at each change.
func (c *control) startCatchUp() {
	c.status.fetching, c.status.behindSince = true, clock.Never
	if p := c.peerAhead(); p != nil && !c.readsDirectory.Load() && !c.peerInLaterEra() {
		go c.d.fetchRecords(p.Member.Addr, c.applied)
		return
	}
	go c.d.readDirectory()
}

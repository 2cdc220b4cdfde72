package sidecar

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/quarantine"
)

const (
	crashesPrefix = "crashes/" // of the key of the evidence about a service
	// crashWriteDelay and acquittalWriteDelay are the times after which evidence that the
	// newest record lacks is written. By the first, the other daemons of the service have it,
	// so that one of them writes. Acquittals are less urgent.
	crashWriteDelay     = 50 * time.Millisecond
	acquittalWriteDelay = 5 * time.Second
	// crashWriteStagger is the further delay for each daemon of the service that is to
	// write before this one, up to maxCrashWriteStagger.
	crashWriteStagger    = 200 * time.Millisecond
	maxCrashWriteStagger = 1200 * time.Millisecond
	// crashRetryInterval is the time after which a record that was not read back is
	// written again.
	crashRetryInterval = 500 * time.Millisecond
	// evidenceExpiryInterval is the time between two removals of old evidence.
	evidenceExpiryInterval = 10 * time.Second
)

// applyEvidence applies the record of a service.
func (c *control) applyEvidence(r *metastore.Record) error {
	if len(r.Value) == 0 {
		return nil
	}
	record, err := quarantine.Decode(r.Value)
	if err != nil {
		return err
	}
	service := ident.Service(strings.TrimPrefix(r.Key, crashesPrefix))
	stored := quarantine.NewLedger()
	stored.Merge(record)
	c.crashes.stored[service] = stored
	c.mergeEvidence(service, record)
	return nil
}

// writeEvidence writes the evidence about the own service if the newest record lacks some
// of it and it is this daemon's turn to write.
func (c *control) writeEvidence(now clock.Time) {
	s := &c.crashes
	if !c.directoryLoaded || s.inFlight {
		return
	}
	if !now.Before(s.nextExpiry) {
		s.nextExpiry = now.Add(evidenceExpiryInterval)
		if len(s.ledgers) > 0 {
			c.evidenceChanged()
		}
	}
	l := c.ownLedger()
	stored := s.stored[ident.Service(c.self.Service)]
	if stored == nil {
		stored = quarantine.NewLedger()
	}
	evidence, acquittals := l.Lacks(stored)
	if !evidence && !acquittals {
		s.lackingFor = clock.Never
		return
	}
	if s.lackingFor == clock.Never {
		s.lackingFor = now
	}
	delay := crashWriteDelay
	if !evidence {
		delay = acquittalWriteDelay
	}
	delay += min(time.Duration(c.rank())*crashWriteStagger, maxCrashWriteStagger)
	if now.Before(s.lackingFor.Add(delay)) || now.Before(s.nextWrite) {
		return
	}
	s.inFlight, s.nextWrite = true, now.Add(crashRetryInterval)
	go c.d.appendEvidence(metastore.Record{Key: crashesPrefix + c.self.Service, Value: l.Record().Encode()})
}

func (d *Daemon) appendEvidence(record metastore.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if err := d.store.Append(ctx, d.directory, []metastore.Record{record}); err != nil {
		logevent.Log(d.log, logevent.StoreCallFailed, zap.String("record", record.Key), zap.Error(err))
	}
	d.control.do(func() { d.control.crashes.inFlight = false })
}

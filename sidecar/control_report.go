package sidecar

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/ownertable"
)

const (
	reportPrefix = "held/" // of the key of a report; service and name follow
	// reportRetryInterval is the time after which a report that was not read back is
	// appended again.
	reportRetryInterval = 500 * time.Millisecond
)

// writeReport appends the report of what the target holds, which the other daemons
// need before they assign keys in a later era of the store, until it was read back.
func (c *control) writeReport(now clock.Time) {
	if !c.keyed() || c.reportInFlight || now.Before(c.nextReport) {
		return
	}
	r := c.agent.ReportDue()
	if r == nil {
		return
	}
	c.reportInFlight, c.nextReport = true, now.Add(reportRetryInterval)
	logevent.Log(c.log, logevent.HoldingsReported, zap.Uint32("era", r.Era), zap.String("target", r.Owner.Target.ID), zap.Int("rows", len(r.Rows)), zap.Duration("unreported_for", r.UnreportedFor))
	go c.d.appendReport(metastore.Record{Key: c.reportKeys() + r.Name(), Value: r.Encode()})
}

func (d *Daemon) appendReport(record metastore.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if err := d.store.Append(ctx, d.directory, []metastore.Record{record}); err != nil {
		logevent.Log(d.log, logevent.StoreCallFailed, zap.String("record", record.Key), zap.Error(err))
	}
	d.control.do(func() { d.control.reportInFlight = false })
}

// reportKeys returns the prefix of the keys of reports of the own service.
func (c *control) reportKeys() string { return reportPrefix + c.self.Service + "/" }

// applyReport applies a report. Those of other services are kept because the target
// may change its service.
func (c *control) applyReport(r *metastore.Record) error {
	if len(r.Value) == 0 {
		return nil
	}
	report, err := ownertable.DecodeReport(r.Value)
	if err != nil {
		return err
	}
	if !strings.HasSuffix(r.Key, "/"+report.Name()) {
		return &ownertable.RecordError{Reason: "the report " + report.Name() + " has the key of another one"}
	}
	c.reports[r.Key] = storedReport{report, r.Offset}
	if strings.HasPrefix(r.Key, c.reportKeys()) {
		c.agent.ReportRead(report, uint64(r.Offset), clock.Now())
	}
	return nil
}

// applyReports applies the reports of the era that were read before to a new agent.
func (c *control) applyReports() {
	for key, r := range c.reports {
		if strings.HasPrefix(key, c.reportKeys()) {
			c.agent.ReportRead(r.report, uint64(r.offset), clock.Now())
		}
	}
}

// storedReport is a report that was read from the directory in the present era.
type storedReport struct {
	report *ownertable.HoldReport
	offset metastore.Offset
}

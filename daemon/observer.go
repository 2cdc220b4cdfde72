package daemon

import (
	"slices"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
)

// Changed implements driver.Observer.
func (d *Daemon) Changed(v cell.View) {
	d.trackRoles(&v)
	d.trackPeers(&v)
	d.trackProvisional(&v)
	d.metrics.changed(&v, clock.Now())
}

// trackProvisional logs when assignments stop reaching the log.
func (d *Daemon) trackProvisional(v *cell.View) {
	silent := clock.Now().Sub(v.LastTail) >= logSilence
	provisional := silent && v.Provisional > 0 && v.Self == v.Leader
	if provisional && !d.provisional {
		logevent.Log(d.log, logevent.AssignmentsProvisional, zap.Int("assignments", v.Provisional))
	}
	d.provisional = provisional
}

// trackRoles lets only the leader and the deputy of a cell follow the
// configuration stream; the others pull from them.
func (d *Daemon) trackRoles(v *cell.View) {
	reads := v.Leader.IsZero() || v.Self == v.Leader || v.Self == v.Deputy
	if reads == d.readsConfig {
		return
	}
	d.readsConfig = reads
	d.follower.SetReadsLog(reads)
}

// trackPeers names the members of the cell as sources of configuration.
func (d *Daemon) trackPeers(v *cell.View) {
	nodes := make([]ident.Node, 0, len(v.Members))
	for _, m := range v.Members {
		if m.Node != v.Self {
			nodes = append(nodes, m.Node)
		}
	}
	if slices.Equal(nodes, d.peerNodes) {
		return
	}
	d.peerNodes = nodes
	d.follower.SetPeers(nodes)
}

// auditEvents maps the kinds of audit entries to log events.
var auditEvents = map[cell.AuditKind]*logevent.Event{
	cell.AuditLeader:    logevent.LeaderChanged,
	cell.AuditDeputy:    logevent.DeputyChanged,
	cell.AuditGranted:   logevent.RangeGranted,
	cell.AuditRevoked:   logevent.RangeRevoked,
	cell.AuditJoined:    logevent.MemberJoined,
	cell.AuditLost:      logevent.MemberLost,
	cell.AuditRejected:  logevent.RecordVoid,
	cell.AuditSplit:     logevent.RangeSplit,
	cell.AuditMerged:    logevent.RangesMerged,
	cell.AuditRecovered: logevent.CellRecovered,
}

// Audited implements driver.Observer.
func (d *Daemon) Audited(entries []cell.AuditEntry) {
	for _, e := range entries {
		event, ok := auditEvents[e.Kind]
		if !ok {
			continue
		}
		logevent.Log(d.log, event,
			zap.String("service", string(d.settings.Service)),
			zap.Stringer("node", e.Node),
			zap.Stringer("range", e.Range),
			zap.Stringer("token", e.Token),
			zap.String("reason", e.Reason))
		d.metrics.audited(e.Kind)
	}
}

// Failed implements driver.Observer.
func (d *Daemon) Failed(err error) {
	d.faults.add(err)
	logevent.Log(d.log, logevent.ControlFault, zap.Error(err))
}

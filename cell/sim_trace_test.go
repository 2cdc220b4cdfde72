package cell

import (
	"fmt"
	"strings"
)

// record writes what a step did to the trace, without renewals and heartbeats
// that change nothing.
func (s *sim) record(p *simProc, fx Effects) {
	say := func(format string, args ...any) {
		fmt.Fprintf(s.trace, "%s %s: %s\n", s.stamp(), p.id.Instance, fmt.Sprintf(format, args...))
	}
	if fx.HoldingsChanged {
		if text := describeHoldings(fx.Holdings); text != p.prev {
			p.prev = text
			say("holds%s", text)
		}
	}
	for _, h := range fx.Release {
		say("releases %s", describeGrant(h.Grant))
	}
	for _, g := range fx.Prepare {
		say("prepares %s", describeGrant(g))
	}
	for _, e := range fx.Messages {
		if text := describeMessage(e.Message); text != "" {
			say("to %s: %s", e.To.Instance, text)
		}
	}
	for _, a := range fx.Appends {
		say("appends %s", describeRecord(a.Record))
	}
	for _, g := range fx.Committed {
		say("acknowledges %s", describeGrant(g))
	}
	if fx.Left {
		say("has left")
	}
	if fx.Err != nil {
		say("error: %v", fx.Err)
	}
}

func describeGrant(g Grant) string {
	return fmt.Sprintf("%04x-%04x=%s@%s", uint64(g.Range.First)>>48, uint64(g.Range.Last)>>48, g.Owner.Instance, g.Token)
}

func describeGrants(grants []Grant) string {
	var b strings.Builder
	for _, g := range grants {
		b.WriteString(" " + describeGrant(g))
	}
	return b.String()
}

func describeHoldings(holdings []Holding) string {
	var b strings.Builder
	for _, h := range holdings {
		b.WriteString(" " + describeGrant(h.Grant))
		if h.Releasing {
			b.WriteString("(releasing)")
		}
	}
	if b.Len() == 0 {
		return " nothing"
	}
	return b.String()
}

func describeMessage(m Message) string {
	switch {
	case m.Renew != nil && len(m.Renew.Holds) > 0:
		return fmt.Sprintf("renew term %d, holds%s", m.Renew.Term, describeGrants(m.Renew.Holds))
	case m.Lease != nil && m.Lease.Flags&leaseGrants != 0:
		return fmt.Sprintf("lease term %d version %d,%s", m.Lease.Term, m.Lease.Version, describeGrants(m.Lease.Grants))
	case m.Lead != nil:
		return fmt.Sprintf("lead term %d", m.Lead.Term)
	case m.Heartbeat != nil && m.Heartbeat.Flags&heartbeatState != 0:
		return fmt.Sprintf("heartbeat term %d revision %d change %d", m.Heartbeat.Term, m.Heartbeat.Revision, m.Heartbeat.Seq)
	case m.Handover != nil:
		return fmt.Sprintf("handover term %d", m.Handover.Term)
	case m.Prepare != nil:
		return "prepare " + describeGrant(m.Prepare.Grant)
	case m.PrepareDone != nil:
		return "prepared " + describeGrant(m.PrepareDone.Grant)
	case m.Release != nil:
		return "release " + describeGrant(m.Release.Grant)
	case m.ReleaseDone != nil:
		return fmt.Sprintf("released %s resumed=%v", describeGrant(m.ReleaseDone.Grant), m.ReleaseDone.Resumed)
	}
	return ""
}

func describeRecord(r Record) string {
	switch {
	case r.Announce != nil:
		return "announce " + r.Announce.Member.Node.String()
	case r.Claim != nil:
		return fmt.Sprintf("claim base %d kind %d by %s with deputy %s", r.Claim.Base, r.Claim.Kind, r.Claim.Candidate, r.Claim.Deputy)
	case r.Deputy != nil:
		return fmt.Sprintf("deputy base %d leader %s deputy %s", r.Deputy.Base, r.Deputy.Leader, r.Deputy.Deputy)
	case r.Assign != nil:
		return fmt.Sprintf("assign term %d changes %d-%d%s gone %v back %v", r.Assign.Term, r.Assign.From, r.Assign.To, describeGrants(r.Assign.Changed), r.Assign.Gone, r.Assign.Back)
	case r.Intent != nil:
		return fmt.Sprintf("intent base %d by %s", r.Intent.Base, r.Intent.Candidate)
	case r.Objection != nil:
		return fmt.Sprintf("objection base %d by %s", r.Objection.Base, r.Objection.Sender)
	case r.Loss != nil:
		return "loss of " + r.Loss.Node.String()
	}
	return r.Kind().String()
}

package cell

import (
	"fmt"
	"slices"
	"strings"

	"github.com/parsleystack/parsleystack/ident"
)

// maxGone is the number of members given up that a ledger remembers, so that a
// late record of an old process is still told apart.
const maxGone = 64

// maxLost is the number of confirmed losses that a ledger remembers.
const maxLost = 64

func (l *Ledger) applyAnnounce(offset uint64, a *Announce) ApplyResult {
	node := a.Member.Node
	if node.IsZero() {
		return void("it names no process")
	}
	entry := MemberState{Member: a.Member, Offset: offset}
	if known := l.member(node.Instance); known != nil {
		if node.Incarnation <= known.Member.Node.Incarnation {
			return void("the process or a newer one of its instance is announced already")
		}
		if known.Gone && len(l.Members()) >= MaxMembers {
			return void("the cell is full")
		}
		l.state.Members = slices.Clone(l.state.Members)
		*l.member(node.Instance) = entry
		return valid(AuditEntry{Kind: AuditJoined, Node: node, Reason: "new incarnation"})
	}
	if len(l.Members()) >= MaxMembers {
		return void("the cell is full")
	}
	l.state.Members = append(slices.Clone(l.state.Members), entry)
	slices.SortFunc(l.state.Members, func(x, y MemberState) int {
		return strings.Compare(string(x.Member.Node.Instance), string(y.Member.Node.Instance))
	})
	l.forget()
	return valid(AuditEntry{Kind: AuditJoined, Node: node, Reason: "announced"})
}

// forget drops the longest known members that were given up, and the oldest
// confirmed losses, beyond what a ledger remembers.
func (l *Ledger) forget() {
	for len(l.state.Members)-len(l.Members()) > maxGone {
		oldest := -1
		for i, m := range l.state.Members {
			if m.Gone && (oldest < 0 || m.Offset < l.state.Members[oldest].Offset) {
				oldest = i
			}
		}
		l.state.Members = slices.Delete(slices.Clone(l.state.Members), oldest, oldest+1)
	}
	if n := len(l.state.Lost); n > maxLost {
		l.state.Lost = slices.Clone(l.state.Lost[n-maxLost:])
	}
}

func (l *Ledger) applyAssign(a *Assign) ApplyResult {
	if a.Term != l.state.Term || a.Term == 0 {
		return void(fmt.Sprintf("its term %d is not the present one, %d", a.Term, l.state.Term))
	}
	if a.From != l.state.Seq || a.To < a.From {
		return void(fmt.Sprintf("it follows change %d, but the last one is %d", a.From, l.state.Seq))
	}
	grants := replaceGrants(l.state.Grants, a.Changed)
	if !covers(grants, l.span) {
		return void("its assignments do not cover the span of the cell")
	}
	audit := l.grantAudit(grants)
	audit = append(audit, l.applyGone(a)...)
	l.state.Grants = grants
	l.state.Seq = a.To
	l.state.Pending = nil
	return valid(audit...)
}

// applyGone marks the members that the record gives up or takes back.
func (l *Ledger) applyGone(a *Assign) []AuditEntry {
	var audit []AuditEntry
	if len(a.Gone)+len(a.Back) == 0 {
		return nil
	}
	l.state.Members = slices.Clone(l.state.Members)
	for _, node := range a.Gone {
		if m := l.member(node.Instance); m != nil && m.Member.Node == node && !m.Gone {
			m.Gone = true
			audit = append(audit, AuditEntry{Kind: AuditLost, Node: node, Reason: "left or silent"})
		}
	}
	for _, node := range a.Back {
		m := l.member(node.Instance)
		if m != nil && m.Member.Node == node && m.Gone && len(l.Members()) < MaxMembers {
			m.Gone = false
			audit = append(audit, AuditEntry{Kind: AuditJoined, Node: node, Reason: "answers again"})
		}
	}
	l.forget()
	return audit
}

// grantAudit returns the entries for a change from the present grants to next.
func (l *Ledger) grantAudit(next []Grant) []AuditEntry {
	return auditChange(l.state.Grants, next, "written to the log")
}

// auditChange returns the entries for a change from prev to next.
func auditChange(prev, next []Grant, reason string) []AuditEntry {
	var audit []AuditEntry
	for _, g := range prev {
		if !g.Owner.IsZero() && !ownedWithin(next, g) {
			audit = append(audit, AuditEntry{Kind: AuditRevoked, Node: g.Owner, Range: g.Range, Token: g.Token, Reason: reason})
		}
	}
	for _, g := range next {
		if g.Owner.IsZero() || slices.Contains(prev, g) {
			continue
		}
		audit = append(audit, AuditEntry{Kind: changeKind(prev, g), Node: g.Owner, Range: g.Range, Token: g.Token, Reason: reason})
	}
	return audit
}

// ownedWithin reports whether the owner of g keeps all of its range in next.
func ownedWithin(next []Grant, g Grant) bool {
	for _, n := range next {
		if n.Range.Overlaps(g.Range) && n.Owner != g.Owner {
			return false
		}
	}
	return true
}

// changeKind tells a split and a merge from a plain grant.
func changeKind(prev []Grant, g Grant) AuditKind {
	overlapping := 0
	owners := []ident.Node{g.Owner}
	wider := false
	for _, p := range prev {
		if !p.Range.Overlaps(g.Range) {
			continue
		}
		overlapping++
		wider = wider || p.Range.First < g.Range.First || p.Range.Last > g.Range.Last
		if !slices.Contains(owners, p.Owner) {
			owners = append(owners, p.Owner)
		}
	}
	switch {
	case len(owners) > 1:
		return AuditGranted
	case overlapping > 1:
		return AuditMerged
	case wider:
		return AuditSplit
	}
	return AuditGranted
}

package cell

import (
	"fmt"
	"slices"
	"strings"

	"github.com/parsleystack/parsleystack/ident"
)

// maxRemoved is the number of removed members that a ledger keeps, so that a
// late record of an old process is still recognized.
const maxRemoved = 64

// maxLost is the number of confirmed losses that a ledger keeps.
const maxLost = 64

func (l *Ledger) applyAnnounce(offset uint64, a *Announce) ApplyResult {
	node := a.Member.Node
	if node.IsZero() {
		return rejected("it names no process")
	}
	entry := MemberState{Member: a.Member, Offset: offset}
	if known := l.member(node.Instance); known != nil {
		if node.Incarnation <= known.Member.Node.Incarnation {
			return rejected("this process or a newer one of its instance is already announced")
		}
		if known.Removed && len(l.Members()) >= MaxMembers {
			return rejected("the cell is full")
		}
		l.state.Members = slices.Clone(l.state.Members)
		*l.member(node.Instance) = entry
		return accepted(AuditEntry{Kind: AuditJoined, Node: node, Reason: "new incarnation"})
	}
	if len(l.Members()) >= MaxMembers {
		return rejected("the cell is full")
	}
	l.state.Members = append(slices.Clone(l.state.Members), entry)
	slices.SortFunc(l.state.Members, func(x, y MemberState) int {
		return strings.Compare(string(x.Member.Node.Instance), string(y.Member.Node.Instance))
	})
	l.trimHistory()
	return accepted(AuditEntry{Kind: AuditJoined, Node: node, Reason: "announced"})
}

// trimHistory drops the oldest removed members and the oldest confirmed losses
// beyond maxRemoved and maxLost.
func (l *Ledger) trimHistory() {
	for len(l.state.Members)-len(l.Members()) > maxRemoved {
		oldest := -1
		for i, m := range l.state.Members {
			if m.Removed && (oldest < 0 || m.Offset < l.state.Members[oldest].Offset) {
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
		return rejected(fmt.Sprintf("its term %d is not the current term, %d", a.Term, l.state.Term))
	}
	if a.From != l.state.Seq || a.To < a.From {
		return rejected(fmt.Sprintf("it builds on change %d, but the last change is %d", a.From, l.state.Seq))
	}
	grants := replaceGrants(l.state.Grants, a.Changed)
	if !covers(grants, l.span) {
		return rejected("its assignments do not cover the span of the cell")
	}
	audit := l.grantAudit(grants)
	audit = append(audit, l.applyMembership(a)...)
	l.state.Grants = grants
	l.state.Seq = a.To
	l.state.FormerPairs = nil
	return accepted(audit...)
}

// applyMembership removes and restores the members that the record lists.
func (l *Ledger) applyMembership(a *Assign) []AuditEntry {
	var audit []AuditEntry
	if len(a.Removed)+len(a.Restored) == 0 {
		return nil
	}
	l.state.Members = slices.Clone(l.state.Members)
	for _, node := range a.Removed {
		if m := l.member(node.Instance); m != nil && m.Member.Node == node && !m.Removed {
			m.Removed = true
			audit = append(audit, AuditEntry{Kind: AuditLost, Node: node, Reason: "left or not responding"})
		}
	}
	for _, node := range a.Restored {
		m := l.member(node.Instance)
		if m != nil && m.Member.Node == node && m.Removed && len(l.Members()) < MaxMembers {
			m.Removed = false
			audit = append(audit, AuditEntry{Kind: AuditJoined, Node: node, Reason: "responds again"})
		}
	}
	l.trimHistory()
	return audit
}

// grantAudit returns the entries for a change from the current grants to next.
func (l *Ledger) grantAudit(next []Grant) []AuditEntry {
	return auditChange(l.state.Grants, next, "written to the log")
}

// auditChange returns the entries for a change from prev to next.
func auditChange(prev, next []Grant, reason string) []AuditEntry {
	var audit []AuditEntry
	for _, g := range prev {
		if !g.Owner.IsZero() && !ownerUnchanged(next, g) {
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

// ownerUnchanged reports whether the owner of g keeps all of its range in next.
func ownerUnchanged(next []Grant, g Grant) bool {
	for _, n := range next {
		if n.Range.Overlaps(g.Range) && n.Owner != g.Owner {
			return false
		}
	}
	return true
}

// changeKind returns whether g is a split, a merge or a plain grant.
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

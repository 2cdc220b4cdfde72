package cell

import (
	"errors"
	"slices"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Ledger is the state that results from applying the records of a cell's
// stream: the leader, the deputy, the members, and the assignments that the log
// contains. It is deterministic: two ledgers that have applied the same records
// are equal.
type Ledger struct {
	service       ident.Service
	span          keyspace.Range
	appliedOffset platformlog.Offset
	state         LedgerState

	// carriedSeq is the last assignment change of the previous term that is
	// included in the initial assignments of Term.
	carriedSeq uint64
	// snapshotTime is the append time of the newest snapshot, or of the first
	// record if there is no snapshot; lastTime is that of the newest record.
	snapshotTime int64
	lastTime     int64
	err          error

	// acceptAnyVersion skips the check of a claim's expected version; it injects
	// FaultAcceptAnyVersion.
	acceptAnyVersion bool
}

// NewLedger returns the ledger of an empty stream, for the service's cell that
// assigns span.
func NewLedger(svc ident.Service, span keyspace.Range) *Ledger {
	return &Ledger{service: svc, span: span}
}

// Term returns the offset of the last valid claim, or 0.
func (l *Ledger) Term() uint64 { return l.state.Term }

// Leader returns the leader of the term, or zero.
func (l *Ledger) Leader() ident.Node { return l.state.Leader }

// Deputy returns the deputy of the term, or zero if there is none.
func (l *Ledger) Deputy() ident.Node { return l.state.Deputy }

// AppliedOffset returns the offset of the newest record applied, or 0.
func (l *Ledger) AppliedOffset() platformlog.Offset { return l.appliedOffset }

// Err returns a *VersionError if the stream contains a record of a newer version
// than this program supports.
func (l *Ledger) Err() error { return l.err }

// Members returns the members sorted by instance, without removed ones.
func (l *Ledger) Members() []Member {
	var members []Member
	for _, m := range l.state.Members {
		if !m.Removed {
			members = append(members, m.Member)
		}
	}
	return members
}

// Assignments returns the assignments that the log contains, sorted by Range.First.
func (l *Ledger) Assignments() []Grant { return slices.Clone(l.state.Grants) }

// Apply applies the record at the offset. The time is the record's append time
// in Unix nanoseconds. Records must be applied in ascending order of offsets;
// records at or below AppliedOffset have no effect.
func (l *Ledger) Apply(offset platformlog.Offset, time int64, payload []byte) ApplyResult {
	if l.err != nil {
		return ApplyResult{Reason: "the stream needs a newer program", Err: l.err}
	}
	if offset <= l.appliedOffset {
		return rejected("already applied")
	}
	record, err := DecodeRecord(payload)
	var newer *VersionError
	if errors.As(err, &newer) {
		l.err = err
		return ApplyResult{Reason: "the stream needs a newer program", Err: err}
	}
	l.appliedOffset = offset
	l.updateTimes(time)
	if err != nil {
		return l.finish(Record{}, rejected(err.Error()))
	}
	return l.finish(record, l.apply(uint64(offset), time, record))
}

func (l *Ledger) updateTimes(time int64) {
	if l.lastTime == 0 {
		l.snapshotTime = time
	}
	l.lastTime = max(l.lastTime, time)
}

func (l *Ledger) finish(record Record, v ApplyResult) ApplyResult {
	v.Kind = record.Kind()
	v.Nonce = record.Nonce()
	if !v.Valid {
		v.Audit = []AuditEntry{{Kind: AuditRejected, Reason: v.Kind.String() + " record: " + v.Reason}}
	}
	return v
}

func (l *Ledger) apply(offset uint64, time int64, r Record) ApplyResult {
	switch {
	case r.Announce != nil:
		return l.applyAnnounce(offset, r.Announce)
	case r.Claim != nil:
		return l.applyClaim(offset, r.Claim)
	case r.Deputy != nil:
		return l.applyDeputy(offset, r.Deputy)
	case r.Assign != nil:
		return l.applyAssign(r.Assign)
	case r.Intent != nil:
		return l.applyIntent(r.Intent)
	case r.Objection != nil:
		return l.applyObjection(r.Objection)
	case r.Loss != nil:
		return l.applyLoss(r.Loss)
	default:
		l.snapshotTime = time
		return accepted()
	}
}

// member returns the state of the instance's newest announced process, or nil.
func (l *Ledger) member(instance ident.Instance) *MemberState {
	for i := range l.state.Members {
		if l.state.Members[i].Member.Node.Instance == instance {
			return &l.state.Members[i]
		}
	}
	return nil
}

// announcedMember returns the member that is exactly this process, or nil.
func (l *Ledger) announcedMember(node ident.Node) *Member {
	m := l.member(node.Instance)
	if m == nil || m.Member.Node != node {
		return nil
	}
	return &m.Member
}

// terminated reports whether the stream shows that the process is superseded by a
// newer one of its instance or confirmed as lost.
func (l *Ledger) terminated(node ident.Node) bool {
	if slices.Contains(l.state.Lost, node) {
		return true
	}
	m := l.member(node.Instance)
	return m != nil && m.Member.Node.Incarnation > node.Incarnation
}

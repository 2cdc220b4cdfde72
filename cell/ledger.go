package cell

import (
	"errors"
	"slices"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Ledger is the pure fold of a cell's stream: who leads the cell, who its
// deputy and members are, and the assignments that the log holds. Two ledgers
// that have applied the same records are equal.
type Ledger struct {
	service ident.Service
	span    keyspace.Range
	covered platformlog.Offset
	state   LedgerState

	// carried is the last assignment change of the term before Term that the
	// assignments at the start of Term contain.
	carried uint64
	// snapshotTime is the append time of the newest snapshot, or of the first
	// record if there is none; lastTime is that of the newest record.
	snapshotTime int64
	lastTime     int64
	err          error

	// anyBase breaks the rule on the base of claims, see FaultAcceptAnyBase.
	anyBase bool
}

// NewLedger returns the ledger of an empty stream of the service's cell that
// holds span.
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
func (l *Ledger) AppliedOffset() platformlog.Offset { return l.covered }

// Err returns a *VersionError if the stream holds a record that needs a newer
// program.
func (l *Ledger) Err() error { return l.err }

// Members returns the members by instance, without those given up.
func (l *Ledger) Members() []Member {
	var members []Member
	for _, m := range l.state.Members {
		if !m.Gone {
			members = append(members, m.Member)
		}
	}
	return members
}

// Assignments returns the assignments that the log holds, by Range.First.
func (l *Ledger) Assignments() []Grant { return slices.Clone(l.state.Grants) }

// Apply folds the record at the offset into the ledger. The time is the
// record's append time in Unix nanoseconds. Records must be applied in the
// order of their offsets; older ones have no effect.
func (l *Ledger) Apply(offset platformlog.Offset, time int64, payload []byte) ApplyResult {
	if l.err != nil {
		return ApplyResult{Reason: "the stream needs a newer program", Err: l.err}
	}
	if offset <= l.covered {
		return void("already applied")
	}
	record, err := DecodeRecord(payload)
	var newer *VersionError
	if errors.As(err, &newer) {
		l.err = err
		return ApplyResult{Reason: "the stream needs a newer program", Err: err}
	}
	l.covered = offset
	l.noteTime(time)
	if err != nil {
		return l.finish(Record{}, void(err.Error()))
	}
	return l.finish(record, l.apply(uint64(offset), time, record))
}

func (l *Ledger) noteTime(time int64) {
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
		return valid()
	}
}

// member returns what the stream says of the instance, or nil.
func (l *Ledger) member(instance ident.Instance) *MemberState {
	for i := range l.state.Members {
		if l.state.Members[i].Member.Node.Instance == instance {
			return &l.state.Members[i]
		}
	}
	return nil
}

// announced returns the member if exactly this process is one, or nil.
func (l *Ledger) announced(node ident.Node) *Member {
	m := l.member(node.Instance)
	if m == nil || m.Member.Node != node {
		return nil
	}
	return &m.Member
}

// ended reports whether the stream shows that the process has ended.
func (l *Ledger) ended(node ident.Node) bool {
	if slices.Contains(l.state.Lost, node) {
		return true
	}
	m := l.member(node.Instance)
	return m != nil && m.Member.Node.Incarnation > node.Incarnation
}

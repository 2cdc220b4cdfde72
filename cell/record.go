package cell

// Record is a record of the cell's stream. A Record is a tagged union: exactly
// one of its fields is set. The zero Record is invalid.
type Record struct {
	Announce  *Announce
	Claim     *Claim
	Deputy    *DeputyChange
	Assign    *Assign
	Intent    *Intent
	Objection *Objection
	Loss      *Loss
	Snapshot  *Snapshot
}

// RecordKind identifies the type of a record in the stream.
type RecordKind uint8

// The kinds of records.
const (
	KindAnnounce  RecordKind = 1
	KindClaim     RecordKind = 2
	KindDeputy    RecordKind = 3
	KindAssign    RecordKind = 4
	KindIntent    RecordKind = 5
	KindObjection RecordKind = 6
	KindLoss      RecordKind = 7
	KindSnapshot  RecordKind = 8
)

// String returns the name of the kind.
func (k RecordKind) String() string {
	switch k {
	case KindAnnounce:
		return "announce"
	case KindClaim:
		return "claim"
	case KindDeputy:
		return "deputy"
	case KindAssign:
		return "assign"
	case KindIntent:
		return "intent"
	case KindObjection:
		return "objection"
	case KindLoss:
		return "loss"
	case KindSnapshot:
		return "snapshot"
	}
	return "unknown"
}

// Kind returns the kind of the field that is set, or 0.
func (r Record) Kind() RecordKind {
	kind, _ := r.body()
	return kind
}

// Nonce returns the number that identifies the append of this record, or 0 if
// r is invalid.
func (r Record) Nonce() uint64 {
	switch {
	case r.Announce != nil:
		return r.Announce.Nonce
	case r.Claim != nil:
		return r.Claim.Nonce
	case r.Deputy != nil:
		return r.Deputy.Nonce
	case r.Assign != nil:
		return r.Assign.Nonce
	case r.Intent != nil:
		return r.Intent.Nonce
	case r.Objection != nil:
		return r.Objection.Nonce
	case r.Loss != nil:
		return r.Loss.Nonce
	case r.Snapshot != nil:
		return r.Snapshot.Nonce
	}
	return 0
}

func (r Record) body() (RecordKind, body) {
	switch {
	case r.Announce != nil:
		return KindAnnounce, r.Announce
	case r.Claim != nil:
		return KindClaim, r.Claim
	case r.Deputy != nil:
		return KindDeputy, r.Deputy
	case r.Assign != nil:
		return KindAssign, r.Assign
	case r.Intent != nil:
		return KindIntent, r.Intent
	case r.Objection != nil:
		return KindObjection, r.Objection
	case r.Loss != nil:
		return KindLoss, r.Loss
	case r.Snapshot != nil:
		return KindSnapshot, r.Snapshot
	}
	return 0, nil
}

// newRecord returns a record of the kind with an empty body, and that body.
func newRecord(kind RecordKind) (Record, body) {
	var r Record
	switch kind {
	case KindAnnounce:
		r.Announce = new(Announce)
	case KindClaim:
		r.Claim = new(Claim)
	case KindDeputy:
		r.Deputy = new(DeputyChange)
	case KindAssign:
		r.Assign = new(Assign)
	case KindIntent:
		r.Intent = new(Intent)
	case KindObjection:
		r.Objection = new(Objection)
	case KindLoss:
		r.Loss = new(Loss)
	case KindSnapshot:
		r.Snapshot = new(Snapshot)
	}
	_, b := r.body()
	return r, b
}

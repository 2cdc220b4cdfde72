package config

import "github.com/parsleystack/parsleystack/platformlog"

// Outcome is the effect that a record has on the state.
type Outcome uint8

const (
	// Accepted means that the change or reset took effect. The offset of a
	// change becomes the version of its service.
	Accepted Outcome = 1
	// Rejected means that the change has no effect because the service does not
	// have the version that it expects, or that the reset has none because a
	// change or another reset was appended after the offset that it covers.
	Rejected Outcome = 2
	// SnapshotRecord means that the record is a snapshot, which changes nothing.
	SnapshotRecord Outcome = 3
	// Undecodable means that the record is malformed and has no effect.
	Undecodable Outcome = 4
	// AlreadyApplied means that the state already includes the record.
	AlreadyApplied Outcome = 5
)

// String returns the name that the audit trail uses.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Rejected:
		return "void"
	case SnapshotRecord:
		return "snapshot"
	case Undecodable:
		return "undecodable"
	case AlreadyApplied:
		return "seen"
	}
	return "invalid"
}

// Verdict describes the effect of one record.
type Verdict struct {
	Offset  platformlog.Offset
	Time    int64 // append time, Unix nanoseconds
	Outcome Outcome
	Change  *Change // nil if Undecodable; may be nil if AlreadyApplied
	// CurrentEntry is the current entry of the service if the change is rejected;
	// nil if the service has none.
	CurrentEntry *Entry
	// Err is the reason why this reader can't decode the body of an accepted
	// change, or why a record is undecodable.
	Err error
}

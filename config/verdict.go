package config

import "github.com/parsleystack/parsleystack/platformlog"

// Outcome says what a record of the stream has done.
type Outcome uint8

const (
	// Accepted means that the change is the newest of its service.
	Accepted Outcome = 1
	// Rejected means that the change has no effect, since its base is not the
	// service's version.
	Rejected Outcome = 2
	// SnapshotRecord means that the record is a snapshot and changes nothing.
	SnapshotRecord Outcome = 3
	// Undecodable means that the record is not one of this stream and has no effect.
	Undecodable Outcome = 4
	// AlreadyApplied means that the record was applied before.
	AlreadyApplied Outcome = 5
)

// String returns the name used in the audit trail.
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

// Verdict is the effect of one record.
type Verdict struct {
	Offset  platformlog.Offset
	Time    int64 // append time, Unix nanoseconds
	Outcome Outcome
	Change  *Change // nil if Undecodable or Seen
	// CurrentEntry is the entry that a void change lost to; nil if the service has none.
	CurrentEntry *Entry
	// Err says why an accepted change can't be put into force by this reader,
	// or why a record is undecodable.
	Err error
}

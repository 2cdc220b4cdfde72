package cell

import (
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

// Effects is what a driver carries out after a call of Step, in the order of
// the fields.
type Effects struct {
	// Holdings replaces the local grants if HoldingsChanged is set. It must be
	// in force in the request path before any message of this call is sent.
	Holdings        []Holding
	HoldingsChanged bool
	// Release names ranges whose new requests must be refused and whose work in
	// flight must end; the driver answers with Released. Before a planned stop
	// it also names ranges that ran out while work of them was in flight.
	Release []Holding
	// Prepare names ranges that the target is about to own; the driver answers
	// with Prepared.
	Prepare []Grant
	// Messages are sent without waiting; each may be lost.
	Messages []Envelope
	// Appends go to the cell's stream; the driver answers each with Appended.
	Appends []Append
	// ReadLog asks for a read from NextOffset at once instead of at the
	// driver's next poll.
	ReadLog bool
	// Committed lists grants that have come to stand on two of leader,
	// deputy and log in this call.
	Committed []Grant
	// Audit lists entries for the audit trail.
	Audit []AuditEntry
	// Wake is the time of the next Tick that matters.
	Wake clock.Time
	// Left is set when a planned stop is complete.
	Left bool
	// Err is a condition that an operator must know of.
	Err error
}

// Holding is a grant that the local process holds until Expires on the local
// clock. The request path checks Expires itself.
type Holding struct {
	Grant   Grant
	Expires clock.Time
	// Releasing is set while new requests are refused and work in flight ends.
	Releasing bool
}

// Envelope is a message and its receiver.
type Envelope struct {
	To      ident.Node
	Addr    string // IP:port
	Message Message
}

// Append is a record to be added to the cell's stream.
type Append struct {
	Nonce  uint64
	Record Record
}

// AuditEntry is one change of role or ownership.
type AuditEntry struct {
	Kind   AuditKind
	Node   ident.Node
	Range  keyspace.Range
	Token  Token
	Reason string
}

// AuditKind says what an audit entry records.
type AuditKind uint8

const (
	// AuditLeader records a new leader.
	AuditLeader AuditKind = 1
	// AuditDeputy records a new deputy.
	AuditDeputy AuditKind = 2
	// AuditGranted records a range granted.
	AuditGranted AuditKind = 3
	// AuditRevoked records a range taken from its owner.
	AuditRevoked AuditKind = 4
	// AuditJoined records a new member.
	AuditJoined AuditKind = 5
	// AuditLost records a member given up.
	AuditLost AuditKind = 6
	// AuditRejected records a record of the stream that had no effect.
	AuditRejected AuditKind = 7
	// AuditSplit records a range cut in two or more.
	AuditSplit AuditKind = 8
	// AuditMerged records ranges joined into one.
	AuditMerged AuditKind = 9
	// AuditRecovered records a recovery after the loss of leader and deputy.
	AuditRecovered AuditKind = 10
)

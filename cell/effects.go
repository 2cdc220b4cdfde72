package cell

import (
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

// Effects lists the actions that a driver must carry out after a call of Step,
// in the order of the fields.
type Effects struct {
	// Holdings replaces the local grants if HoldingsChanged is set. The request
	// path must use it before any message of this call is sent.
	Holdings        []Holding
	HoldingsChanged bool
	// Release lists ranges for which new requests must be refused and requests in
	// flight must finish; the driver answers each with Released. Before a planned
	// stop it also lists ranges that expired while requests were in flight.
	Release []Holding
	// Prepare lists ranges that the target is about to own; the driver answers
	// each with Prepared.
	Prepare []Grant
	// Messages are sent without waiting for delivery; each may be lost.
	Messages []Envelope
	// Appends go to the cell's stream; the driver answers each with Appended.
	Appends []Append
	// ReadLog requests a read from NextOffset immediately instead of at the
	// driver's next poll.
	ReadLog bool
	// Committed lists grants that were committed in this call: they are now
	// stored on two of leader, deputy and log.
	Committed []Grant
	// Audit lists entries for the audit trail.
	Audit []AuditEntry
	// Wake is the time at which the driver must send the next Tick.
	Wake clock.Time
	// Left is set when a planned stop is complete.
	Left bool
	// Err is a condition that requires an operator's attention.
	Err error
}

// Holding is a grant that the local process holds until Expires on the local
// clock. The request path must check Expires itself.
type Holding struct {
	Grant   Grant
	Expires clock.Time
	// Releasing is set while new requests are refused and requests in flight
	// finish.
	Releasing bool
}

// Envelope is a message with its recipient.
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

// AuditKind is the type of change that an audit entry records.
type AuditKind uint8

const (
	// AuditLeader records a new leader.
	AuditLeader AuditKind = 1
	// AuditDeputy records a new deputy.
	AuditDeputy AuditKind = 2
	// AuditGranted records a range granted.
	AuditGranted AuditKind = 3
	// AuditRevoked records a range revoked from its owner.
	AuditRevoked AuditKind = 4
	// AuditJoined records a new member.
	AuditJoined AuditKind = 5
	// AuditLost records a member that was removed or confirmed as lost.
	AuditLost AuditKind = 6
	// AuditRejected records that a record of the stream was rejected and had no
	// effect.
	AuditRejected AuditKind = 7
	// AuditSplit records a range that was split.
	AuditSplit AuditKind = 8
	// AuditMerged records ranges that were merged into one.
	AuditMerged AuditKind = 9
	// AuditRecovered records a recovery after both leader and deputy failed.
	AuditRecovered AuditKind = 10
)

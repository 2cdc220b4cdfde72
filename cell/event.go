package cell

import (
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Event is an input of the state machine.
type Event interface{ isEvent() }

// Tick only advances the time. Drivers send one at least every TickInterval,
// and at Effects.Wake.
type Tick struct{}

// Received is a message from another member. From is the sender as
// authenticated by the transport.
type Received struct {
	From    ident.Node
	Message Message
}

// Appended is the result of an append to the log.
type Appended struct {
	Nonce   uint64
	Offset  platformlog.Offset // if Outcome is AppendDone
	Outcome AppendOutcome
}

// AppendOutcome is what is known about the result of an append.
type AppendOutcome uint8

const (
	// AppendDone means that the record is in the stream, at Appended.Offset.
	AppendDone AppendOutcome = 1
	// AppendFailed means that the record is not in the stream and never will be.
	AppendFailed AppendOutcome = 2
	// AppendUnknown means that the record may be in the stream or may still be
	// added to it.
	AppendUnknown AppendOutcome = 3
)

// LogRead is a successful read of the cell's stream. Started is the reading of
// the local clock before the read request was sent.
type LogRead struct {
	Started clock.Time
	From    platformlog.Offset
	Batch   platformlog.Batch
}

// LogTruncated reports that the log was truncated: the records in [From, Earliest)
// were removed before this node read them.
type LogTruncated struct {
	From     platformlog.Offset
	Earliest platformlog.Offset
}

// Released reports that the target has no more requests of the range in
// flight. It answers Effects.Release.
type Released struct {
	Range keyspace.Range
	Token Token
}

// Prepared reports that the target is ready to own the range. It answers
// Effects.Prepare.
type Prepared struct {
	Range keyspace.Range
	Token Token
}

// Load is the load of the locally held ranges since the previous Load event.
type Load struct {
	Ranges []RangeLoad
}

// TargetState reports whether the local target accepts requests. A member
// whose target is not ready is granted no more ranges, and its ranges are moved
// to other members. The target counts as ready until the first TargetState.
type TargetState struct {
	Ready bool
}

// Leave requests a planned stop: roles are handed over, ranges are moved to
// other members, and Effects.Left is set once that is complete.
type Leave struct{}

// ConfirmLoss is an operator's confirmation that a process has exited for good.
type ConfirmLoss struct {
	Node     ident.Node
	Operator string
}

func (Tick) isEvent()         {}
func (Received) isEvent()     {}
func (Appended) isEvent()     {}
func (LogRead) isEvent()      {}
func (LogTruncated) isEvent() {}
func (Released) isEvent()     {}
func (Prepared) isEvent()     {}
func (Load) isEvent()         {}
func (TargetState) isEvent()  {}
func (Leave) isEvent()        {}
func (ConfirmLoss) isEvent()  {}

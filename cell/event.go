package cell

import (
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Event is an input of the state machine.
type Event interface{ isEvent() }

// Tick lets time pass. Drivers send one at least every TickInterval, and at
// the time that Effects.Wake names.
type Tick struct{}

// Received is a message from another member. From is the sender as the
// transport has established it.
type Received struct {
	From    ident.Node
	Message Message
}

// Appended is the answer of the log to an append.
type Appended struct {
	Nonce   uint64
	Offset  platformlog.Offset // if Outcome is AppendDone
	Outcome AppendOutcome
}

// AppendOutcome says what is known of an append.
type AppendOutcome uint8

const (
	// AppendDone means that the record stands at the offset given.
	AppendDone AppendOutcome = 1
	// AppendFailed means that the record is not and will not become part of the stream.
	AppendFailed AppendOutcome = 2
	// AppendUnknown means that the record may be, or yet become, part of the stream.
	AppendUnknown AppendOutcome = 3
)

// LogRead is a successful read of the cell's stream. Started is the reading of
// the local clock before the read was sent.
type LogRead struct {
	Started clock.Time
	From    platformlog.Offset
	Batch   platformlog.Batch
}

// LogTruncated reports that records at From have expired before they were read.
type LogTruncated struct {
	From     platformlog.Offset
	Earliest platformlog.Offset
}

// Released reports that the target has no work of the range in flight any more
// after an effect asked to release it.
type Released struct {
	Range keyspace.Range
	Token Token
}

// Prepared reports that the target is ready to take over the range.
type Prepared struct {
	Range keyspace.Range
	Token Token
}

// Load is the load of the ranges held locally since the last such event.
type Load struct {
	Ranges []RangeLoad
}

// TargetState reports whether the local target takes requests. A member whose
// target is not ready is granted no further range and its ranges are moved. A
// process counts as ready until the first such event.
type TargetState struct {
	Ready bool
}

// Leave asks for a planned stop: roles are handed over, ranges are moved, and
// Effects.Left is set at the end.
type Leave struct{}

// ConfirmLoss passes on an operator's confirmation that a process is gone.
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

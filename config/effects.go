package config

import (
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Effects is what a driver carries out after a call of Step.
type Effects struct {
	// InForce replaces the configuration in force if it is not nil.
	InForce *InForce
	// Verdicts lists the records that were applied since the end of the stream
	// was first reached, for logs.
	Verdicts []Verdict
	// Read asks for a read of the stream; the driver answers with LogRead,
	// LogFailed or LogGap. At most one read is in flight.
	Read *Read
	// Pull asks a peer; the driver answers with Pulled or PullFailed. At most
	// one pull is in flight.
	Pull *PullFromPeer
	// AppendSnapshot is a record to append if it is not nil; the driver answers
	// with SnapshotDone.
	AppendSnapshot []byte
	// Fault is the condition that keeps the configuration from being complete.
	// It is nil once that has ended.
	Fault error
	// Wake is the time of the next Tick that matters.
	Wake clock.Time
}

// Read is a read of the stream.
type Read struct {
	From  platformlog.Offset
	Limit int
}

// PullFromPeer is a question to another daemon.
type PullFromPeer struct {
	Peer ident.Node
	Pull Pull
}

package config

import (
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Effects lists what the driver must do after a call of Step.
type Effects struct {
	// InForce replaces the configuration in force if it is not nil.
	InForce *InForce
	// Verdicts holds the verdicts on the records applied by this step, for
	// logging. It is empty until the end of the stream has been reached once.
	Verdicts []Verdict
	// Read requests a read of the stream; the driver answers with LogRead,
	// LogFailed or LogTruncated. At most one read is in flight.
	Read *Read
	// Pull requests a pull from a peer; the driver answers with Pulled or
	// PullFailed. At most one pull is in flight.
	Pull *PullFromPeer
	// AppendSnapshot is a record to append if it is not nil; the driver answers
	// with SnapshotDone.
	AppendSnapshot []byte
	// Fault is the reason why the configuration is incomplete, nil if it is
	// complete.
	Fault error
	// Wake is the time at which the driver must send the next Tick; clock.Never
	// if nothing is scheduled.
	Wake clock.Time
}

// Read is a read of the stream.
type Read struct {
	From  platformlog.Offset
	Limit int
}

// PullFromPeer is a pull addressed to a peer.
type PullFromPeer struct {
	Peer ident.Node
	Pull Pull
}

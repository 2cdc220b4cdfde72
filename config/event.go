package config

import (
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Event is an input of a Core.
type Event interface{ isEvent() }

// Tick lets time pass. Drivers send one at the time that Effects.Wake names.
type Tick struct{}

// LogRead is a successful read of the stream.
type LogRead struct {
	From  platformlog.Offset
	Batch platformlog.Batch
	Wall  int64 // wall-clock time of the answer, Unix nanoseconds; only compared with record times
}

// LogFailed reports a read that failed for any reason but expired records.
type LogFailed struct{ Err error }

// LogGap reports that the records from From up to Earliest have expired.
type LogGap struct {
	From     platformlog.Offset
	Earliest platformlog.Offset
}

// SnapshotDone reports the end of an append of a snapshot, whatever its outcome.
type SnapshotDone struct{ Err error }

// PeerOffset reports the newest offset that a peer has in force, as it is
// carried by frames between daemons.
type PeerOffset struct {
	Peer   ident.Node
	Offset platformlog.Offset
}

// Peers replaces the list of the daemons that can be asked.
type Peers struct{ Nodes []ident.Node }

// ReadsLog says whether the daemon follows the log itself, as leaders do, or
// leaves that to its peers. A Core starts with true.
type ReadsLog struct{ On bool }

// Pulled is the answer of a peer.
type Pulled struct {
	Peer   ident.Node
	Answer *PullAnswer
}

// PullFailed reports that a peer did not answer.
type PullFailed struct {
	Peer ident.Node
	Err  error
}

func (Tick) isEvent()         {}
func (LogRead) isEvent()      {}
func (LogFailed) isEvent()    {}
func (LogGap) isEvent()       {}
func (SnapshotDone) isEvent() {}
func (PeerOffset) isEvent()   {}
func (Peers) isEvent()        {}
func (ReadsLog) isEvent()     {}
func (Pulled) isEvent()       {}
func (PullFailed) isEvent()   {}

package config

import (
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Event is an input of a Core.
type Event interface{ isEvent() }

// Tick reports that time has passed. Drivers send one at Effects.Wake.
type Tick struct{}

// LogRead is a successful read of the stream.
type LogRead struct {
	From  platformlog.Offset
	Batch platformlog.Batch
	Wall  int64 // wall-clock time of the response, Unix nanoseconds; only compared with append times of records
}

// LogFailed reports a read that failed for a reason other than expired records.
type LogFailed struct{ Err error }

// LogTruncated reports that a read failed because the records from From up to,
// but not including, Earliest have expired.
type LogTruncated struct {
	From     platformlog.Offset
	Earliest platformlog.Offset
}

// SnapshotDone reports that the append of a snapshot has returned, successfully
// or not.
type SnapshotDone struct{ Err error }

// PeerOffset reports the newest offset that a peer has in force. Frames between
// daemons carry it.
type PeerOffset struct {
	Peer   ident.Node
	Offset platformlog.Offset
}

// Peers replaces the list of daemons to pull from.
type Peers struct{ Nodes []ident.Node }

// ReadsLog sets whether the daemon polls the log itself, as leaders do, or relies
// on pulls from its peers. A Core starts with On set.
type ReadsLog struct{ On bool }

// Pulled carries the answer of a peer to a pull.
type Pulled struct {
	Peer   ident.Node
	Answer *PullAnswer
}

// PullFailed reports that a pull from a peer failed.
type PullFailed struct {
	Peer ident.Node
	Err  error
}

func (Tick) isEvent()         {}
func (LogRead) isEvent()      {}
func (LogFailed) isEvent()    {}
func (LogTruncated) isEvent() {}
func (SnapshotDone) isEvent() {}
func (PeerOffset) isEvent()   {}
func (Peers) isEvent()        {}
func (ReadsLog) isEvent()     {}
func (Pulled) isEvent()       {}
func (PullFailed) isEvent()   {}

package celltest

import (
	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Machine is the state machine under test; cell.Node implements it.
type Machine interface {
	Step(ev cell.Event, now clock.Time) cell.Effects
	View(now clock.Time) cell.View
	NextOffset() platformlog.Offset
}

// Factory returns the state machine of a process that is starting.
type Factory func(cfg cell.Config) (Machine, error)

// ReferenceState is the state of a cell that results from applying the records of
// its stream in order; cell.Ledger implements it. The views of processes are
// compared with it.
type ReferenceState interface {
	Apply(offset platformlog.Offset, time int64, payload []byte) cell.ApplyResult
	Term() uint64
	Leader() ident.Node
	Deputy() ident.Node
	Assignments() []cell.Grant
}

// Encoder encodes a record as the payload for the log.
type Encoder func(rec cell.Record) ([]byte, error)

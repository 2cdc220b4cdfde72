package celltest

import (
	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Machine is the state machine under test, see cell.Node.
type Machine interface {
	Step(ev cell.Event, now clock.Time) cell.Effects
	View(now clock.Time) cell.View
	NextOffset() platformlog.Offset
}

// Factory makes the machine of a process that has just started.
type Factory func(cfg cell.Config) (Machine, error)

// Fold is the reference reading of the cell's stream, see cell.Ledger.
type Fold interface {
	Apply(offset platformlog.Offset, time int64, payload []byte) cell.ApplyResult
	Term() uint64
	Leader() ident.Node
	Deputy() ident.Node
	Assignments() []cell.Grant
}

// Encoder turns a record into the payload that the log keeps.
type Encoder func(rec cell.Record) ([]byte, error)

package celltest

import (
	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/keyspace"
)

// CellOptions returns the options of worlds that test cell.Node.
func CellOptions() Options {
	return Options{
		New:          newNode,
		Encode:       func(rec cell.Record) ([]byte, error) { return rec.AppendTo(nil), nil },
		NewReference: func() ReferenceState { return cell.NewLedger(service, keyspace.Full()) },
		Configure: func(cfg *cell.Config, rule string) {
			cfg.Fault = faultOf(rule)
		},
	}
}

func newNode(cfg cell.Config) (Machine, error) { return cell.NewNode(cfg) }

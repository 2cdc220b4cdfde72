package celltest

import (
	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog"
)

// nodeMachine is a cell.Node as the world drives it.
type nodeMachine struct{ *cell.Node }

func (m nodeMachine) NextOffset() platformlog.Offset { return m.View(0).NextOffset }

// CellOptions returns the options of worlds that check cell.Node.
func CellOptions() Options {
	return Options{
		New:    newNode,
		Encode: func(rec cell.Record) ([]byte, error) { return rec.AppendTo(nil), nil },
		Fold:   func() Fold { return cell.NewLedger(service, keyspace.Full()) },
		Configure: func(cfg *cell.Config, rule string) {
			cfg.Fault = faultOf(rule)
		},
	}
}

func newNode(cfg cell.Config) (Machine, error) {
	n, err := cell.NewNode(cfg)
	if err != nil {
		return nil, err
	}
	return nodeMachine{n}, nil
}

package cell

import (
	"errors"

	"github.com/parsleystack/parsleystack/clock"
)

// Node is the state machine of one member of a cell.
type Node struct {
	cfg Config
}

// NewNode returns the state machine of a process that has just started.
func NewNode(cfg Config) (*Node, error) {
	if cfg.Self.Node.IsZero() {
		return nil, errors.New("cell: Config.Self is empty; set the instance and its incarnation")
	}
	return &Node{cfg: cfg}, nil
}

// Step handles one event at the local time now and returns what the driver
// must do. The clock must not run backwards between calls.
func (n *Node) Step(ev Event, now clock.Time) Effects { return Effects{} }

// View returns a copy of the node's knowledge at the local time now.
func (n *Node) View(now clock.Time) View { return View{Self: n.cfg.Self.Node} }

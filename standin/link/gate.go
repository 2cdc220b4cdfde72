package link

import (
	"sync"

	"github.com/parsleystack/parsleystack/ident"
)

// gate holds the cuts in force and signals their changes.
type gate struct {
	mu      sync.Mutex
	control Control
	changed chan struct{} // closed when control is replaced
}

func newGate() *gate { return &gate{changed: make(chan struct{})} }

func (g *gate) set(c Control) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.control = c
	close(g.changed)
	g.changed = make(chan struct{})
}

// get returns the action for a link and a channel that is closed when the
// action may have changed.
func (g *gate) get(from, to ident.Instance) (action, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.control.action(from, to), g.changed
}

package link

import (
	"sync"

	"github.com/parsleystack/parsleystack/ident"
)

// gate holds the cuts in force and wakes those who wait for their change.
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

// get returns the verdict on a link and a channel that is closed when it may
// have changed.
func (g *gate) get(from, to ident.Instance) (verdict, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.control.verdict(from, to), g.changed
}

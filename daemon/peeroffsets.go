package daemon

import (
	"sync"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// offsetTable holds the configuration offset last received from each member. It
// is safe for concurrent use.
type offsetTable struct {
	mu      sync.Mutex
	offsets map[ident.Node]platformlog.Offset
}

func (t *offsetTable) set(node ident.Node, offset platformlog.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.offsets == nil {
		t.offsets = make(map[ident.Node]platformlog.Offset)
	}
	t.offsets[node] = offset
}

func (t *offsetTable) get(node ident.Node) platformlog.Offset {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.offsets[node]
}

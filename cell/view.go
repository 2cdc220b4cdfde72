package cell

import (
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// View is a read-only copy of a node's state, for route tables, status output
// and tests.
type View struct {
	Self        ident.Node
	Term        uint64 // offset of the newest valid claim that was read; 0 if none
	Leader      ident.Node
	Deputy      ident.Node // zero if there is none
	Members     []Member
	Assignments []Grant // by Range.First; complete on leader and deputy
	Provisional int     // assignments not yet in the log
	Holdings    []Holding
	NextOffset  platformlog.Offset // next offset to read
	LastTail    clock.Time         // start of the last read that reached the end of the stream
	Leaving     bool
	// Activating is set on a leader that grants no leases yet, because the leader
	// and deputy of an older term may still be active. Their provisional
	// assignments are missing from Assignments until then.
	Activating bool
}

// Complete reports whether Assignments covers the span of the cell. This is the
// case on its leader and its deputy.
func (v *View) Complete() bool { return v.Self == v.Leader || v.Self == v.Deputy }

// Member returns the member entry of the process, if it has one.
func (v *View) Member(node ident.Node) (Member, bool) {
	for _, m := range v.Members {
		if m.Node == node {
			return m, true
		}
	}
	return Member{}, false
}

package directory

//msgp:tuple Query Answer

import (
	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
)

// Query is the request to a member of a cell for the owners of the cell's ranges.
type Query struct {
	Service ident.Service `msg:"s"`
}

// Answer is a member's view of its cell: its roles, members and grants.
type Answer struct {
	Term     uint64        `msg:"t"`
	Leader   ident.Node    `msg:"l"`
	Deputy   ident.Node    `msg:"d"`
	Complete bool          `msg:"c"` // Grants covers the whole cell
	Members  []cell.Member `msg:"m"`
	Grants   []cell.Grant  `msg:"g"`
}

// NewAnswer returns the answer for a member's view.
func NewAnswer(v *cell.View) Answer {
	return Answer{
		Term:     v.Term,
		Leader:   v.Leader,
		Deputy:   v.Deputy,
		Complete: v.Complete(),
		Members:  v.Members,
		Grants:   v.Assignments,
	}
}

// newer reports whether a is preferred to b: a complete answer is preferred to a
// partial one, then a later term to an earlier one.
func (a *Answer) newer(b *Answer) bool {
	if a.Complete != b.Complete {
		return a.Complete
	}
	return a.Term > b.Term
}

package cell

//msgp:tuple Token Grant

import (
	"fmt"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

// Token is a fencing token. Every new grant of a range carries a larger token
// than any earlier grant of an overlapping range.
type Token struct {
	Term uint64 `msg:"t"` // offset of the claim of the granting leader
	Seq  uint64 `msg:"s"` // counts grants within the term
}

// Less reports whether t is older than u.
func (t Token) Less(u Token) bool {
	return t.Term < u.Term || t.Term == u.Term && t.Seq < u.Seq
}

// String formats t as term.sequence.
func (t Token) String() string { return fmt.Sprintf("%d.%d", t.Term, t.Seq) }

// Grant assigns a range to a process under a fencing token.
type Grant struct {
	Range keyspace.Range `msg:"r"`
	Owner ident.Node     `msg:"o"`
	Token Token          `msg:"t"`
}

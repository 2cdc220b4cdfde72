package cell

//msgp:limit arrays:4096 maps:16
//msgp:tuple Snapshot LedgerState MemberState Pair

import "github.com/parsleystack/parsleystack/ident"

// Snapshot carries the folded state of all records up to offset Covered.
type Snapshot struct {
	Nonce   uint64      `msg:"o"`
	Covered uint64      `msg:"c"`
	State   LedgerState `msg:"s"`
}

// LedgerState is what the fold of a stream keeps of its records.
type LedgerState struct {
	Term         uint64        `msg:"t"` // offset of the last valid Claim
	RolesVersion uint64        `msg:"b"` // offset of the last valid Claim or DeputyChange
	Seq          uint64        `msg:"s"` // last assignment change of Term
	Leader       ident.Node    `msg:"l"`
	Deputy       ident.Node    `msg:"d"`
	Grants       []Grant       `msg:"g"`
	Members      []MemberState `msg:"m"` // by instance
	Pending      []Pair        `msg:"p"`
	Intents      []ident.Node  `msg:"i"` // candidates of Base that no one has objected to
	Lost         []ident.Node  `msg:"x"` // processes that an operator confirmed as lost
}

// MemberState is a member and what the stream says of it.
type MemberState struct {
	Member Member `msg:"m"`
	Offset uint64 `msg:"o"` // of its Announce
	Gone   bool   `msg:"g"`
}

// Pair is a leader and its deputy that may still grant leases of an older
// term, as far as the stream shows. Deputy is zero if there was none.
type Pair struct {
	Leader ident.Node `msg:"l"`
	Deputy ident.Node `msg:"d"`
	Term   uint64     `msg:"t"` // that the pair works in
	Seq    uint64     `msg:"s"` // newest assignment change of Term that later terms contain
}

package cell

//msgp:limit arrays:4096 maps:16
//msgp:tuple Snapshot LedgerState MemberState Pair

import "github.com/parsleystack/parsleystack/ident"

// Snapshot contains the state of the ledger after the record at offset Covered.
type Snapshot struct {
	Nonce   uint64      `msg:"o"`
	Covered uint64      `msg:"c"`
	State   LedgerState `msg:"s"`
}

// LedgerState is the state that results from applying the records of a stream.
type LedgerState struct {
	Term         uint64        `msg:"t"` // offset of the last valid Claim
	RolesVersion uint64        `msg:"b"` // offset of the last valid Claim or DeputyChange
	Seq          uint64        `msg:"s"` // last assignment change of Term
	Leader       ident.Node    `msg:"l"`
	Deputy       ident.Node    `msg:"d"`
	Grants       []Grant       `msg:"g"`
	Members      []MemberState `msg:"m"` // by instance
	FormerPairs  []Pair        `msg:"p"`
	Intents      []ident.Node  `msg:"i"` // candidates of this RolesVersion without an objection
	Lost         []ident.Node  `msg:"x"` // processes that an operator confirmed as lost
}

// MemberState is a member and its state according to the stream.
type MemberState struct {
	Member  Member `msg:"m"`
	Offset  uint64 `msg:"o"` // of its Announce
	Removed bool   `msg:"g"`
}

// Pair is a leader and its deputy of an older term that, according to the
// stream, may still grant leases. Deputy is zero if there was none.
type Pair struct {
	Leader ident.Node `msg:"l"`
	Deputy ident.Node `msg:"d"`
	Term   uint64     `msg:"t"` // term of the pair
	Seq    uint64     `msg:"s"` // newest assignment change of Term that later terms include
}

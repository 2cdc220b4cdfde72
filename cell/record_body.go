package cell

//msgp:limit arrays:4096 maps:16
//msgp:tuple State Announce Claim DeputyChange Assign Intent Objection Loss

import "github.com/parsleystack/parsleystack/ident"

// State is the assignment of the span as of change Seq of Term. Grants
// are sorted by Range.First; a zero Owner means that the range is unassigned.
type State struct {
	Term   uint64  `msg:"t"`
	Seq    uint64  `msg:"s"`
	Grants []Grant `msg:"g"`
}

// Announce adds a process to the members.
type Announce struct {
	Nonce  uint64 `msg:"o"`
	Member Member `msg:"m"`
}

// ClaimKind is the reason for a Claim.
type ClaimKind uint8

const (
	// ClaimFirst is the first claim of a stream.
	ClaimFirst ClaimKind = 1
	// ClaimTakeover is the claim of a deputy whose leader has timed out.
	ClaimTakeover ClaimKind = 2
	// ClaimHandover is the claim of a deputy at the request of its leader.
	ClaimHandover ClaimKind = 3
	// ClaimRecovery is the claim of a member after leader and deputy failed.
	ClaimRecovery ClaimKind = 4
)

// Claim makes its candidate the leader of a new term.
type Claim struct {
	Nonce           uint64     `msg:"o"`
	ExpectedVersion uint64     `msg:"b"` // offset of the last valid Claim or DeputyChange
	Kind            ClaimKind  `msg:"k"`
	Candidate       ident.Node `msg:"c"`
	Deputy          ident.Node `msg:"d"`
	// Active is set if no leader older than that of ExpectedVersion grants leases.
	Active bool  `msg:"a"`
	State  State `msg:"s"`
}

// DeputyChange names another deputy of the current leader.
type DeputyChange struct {
	Nonce           uint64     `msg:"o"`
	ExpectedVersion uint64     `msg:"b"` // offset of the last valid Claim or DeputyChange
	Leader          ident.Node `msg:"l"`
	Deputy          ident.Node `msg:"d"` // zero if there is none
	// Active is set if no leader older than this one grants leases.
	Active bool  `msg:"a"`
	State  State `msg:"s"`
}

// Assign carries the assignment changes after From up to To within Term.
type Assign struct {
	Nonce    uint64       `msg:"o"`
	Term     uint64       `msg:"t"`
	From     uint64       `msg:"f"`
	To       uint64       `msg:"s"`
	Changed  []Grant      `msg:"g"` // each replaces the grants that it overlaps
	Removed  []ident.Node `msg:"n"` // members to remove
	Restored []ident.Node `msg:"k"` // removed members that respond again
}

// Intent announces that its candidate is going to make a recovery claim.
type Intent struct {
	Nonce           uint64     `msg:"o"`
	ExpectedVersion uint64     `msg:"b"`
	Candidate       ident.Node `msg:"c"`
}

// Objection cancels all recovery intents that precede it.
type Objection struct {
	Nonce           uint64     `msg:"o"`
	ExpectedVersion uint64     `msg:"b"`
	Sender          ident.Node `msg:"s"`
}

// Loss is an operator's confirmation that a process has exited for good.
type Loss struct {
	Nonce    uint64     `msg:"o"`
	Node     ident.Node `msg:"n"`
	Operator string     `msg:"p"`
}

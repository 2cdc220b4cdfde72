package cell

//msgp:limit arrays:4096 maps:16
//msgp:tuple State Announce Claim DeputyChange Assign Intent Objection Loss

import "github.com/parsleystack/parsleystack/ident"

// State is the assignment of the whole span as of change Seq of Term. Grants
// are in the order of Range.First; a zero Owner means that the range waits.
type State struct {
	Term   uint64  `msg:"t"`
	Seq    uint64  `msg:"s"`
	Grants []Grant `msg:"g"`
}

// Announce makes a process a member.
type Announce struct {
	Nonce  uint64 `msg:"o"`
	Member Member `msg:"m"`
}

// ClaimKind says by what right a Claim is made.
type ClaimKind uint8

const (
	// ClaimFirst is the first claim of a stream.
	ClaimFirst ClaimKind = 1
	// ClaimTakeover is the claim of a deputy that misses its leader.
	ClaimTakeover ClaimKind = 2
	// ClaimHandover is the claim of a deputy that its leader has asked for it.
	ClaimHandover ClaimKind = 3
	// ClaimRecovery is the claim of a member after the loss of leader and deputy.
	ClaimRecovery ClaimKind = 4
)

// Claim makes its candidate the leader of a new term.
type Claim struct {
	Nonce           uint64     `msg:"o"`
	ExpectedVersion uint64     `msg:"b"` // offset of the last valid Claim or DeputyChange
	Kind            ClaimKind  `msg:"k"`
	Candidate       ident.Node `msg:"c"`
	Deputy          ident.Node `msg:"d"`
	// Active is set if no leader older than that of Base grants leases any more.
	Active bool  `msg:"a"`
	State  State `msg:"s"`
}

// DeputyChange names another deputy of the present leader.
type DeputyChange struct {
	Nonce           uint64     `msg:"o"`
	ExpectedVersion uint64     `msg:"b"` // offset of the last valid Claim or DeputyChange
	Leader          ident.Node `msg:"l"`
	Deputy          ident.Node `msg:"d"` // zero if there is none
	// Active is set if no leader older than this one grants leases any more.
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
	Removed  []ident.Node `msg:"n"` // members given up
	Restored []ident.Node `msg:"k"` // members given up earlier that answer again
}

// Intent announces that its candidate is about to claim by recovery.
type Intent struct {
	Nonce           uint64     `msg:"o"`
	ExpectedVersion uint64     `msg:"b"`
	Candidate       ident.Node `msg:"c"`
}

// Objection ends every recovery that was announced before it.
type Objection struct {
	Nonce           uint64     `msg:"o"`
	ExpectedVersion uint64     `msg:"b"`
	Sender          ident.Node `msg:"s"`
}

// Loss is an operator's word that a process has ended.
type Loss struct {
	Nonce    uint64     `msg:"o"`
	Node     ident.Node `msg:"n"`
	Operator string     `msg:"p"`
}

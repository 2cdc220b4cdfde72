package cell

//msgp:limit arrays:4096 maps:16
//msgp:tuple Heartbeat LeaseExtension Handover

import "github.com/parsleystack/parsleystack/ident"

// Heartbeat is sent by the leader to request a LeaseExtension from its deputy.
// It carries the assignment state until the deputy has acknowledged it.
type Heartbeat struct {
	Term           uint64     `msg:"t"`
	Request        uint32     `msg:"q"` // echoed by the LeaseExtension that answers
	Revision       uint32     `msg:"r"` // counts changes of the fields below
	Flags          uint8      `msg:"f"`
	SeenExtension  uint32     `msg:"e"` // Request of the newest LeaseExtension received
	Seq            uint64     `msg:"s"` // number of the newest assignment change
	State          []Grant    `msg:"g"` // all assignments, if heartbeatState is set
	ProposedDeputy ident.Node `msg:"n"` // proposed deputy of a takeover, if heartbeatState is set
}

// Bits of Heartbeat.Flags.
const (
	heartbeatState  uint8 = 1 << 0 // State and ProposedDeputy are set
	heartbeatActive uint8 = 1 << 1 // no leader of an older term grants leases any more
)

// LeaseExtension extends the lease of the leader of Term: the sender will not
// reassign any range for the lease duration after its receipt of the Heartbeat.
type LeaseExtension struct {
	Term     uint64 `msg:"t"`
	Request  uint32 `msg:"q"`
	Revision uint32 `msg:"r"` // newest revision that the deputy has stored
	Seq      uint64 `msg:"s"` // assignment change of that revision
}

// Handover asks the deputy to claim the leadership because the leader is about
// to stop.
type Handover struct {
	Term uint64 `msg:"t"`
}

package cell

//msgp:limit arrays:4096 maps:16
//msgp:tuple Heartbeat Pledge Handover

import "github.com/parsleystack/parsleystack/ident"

// Heartbeat asks the deputy for a Pledge. It carries the assignment state
// until the deputy has confirmed it.
type Heartbeat struct {
	Term     uint64     `msg:"t"`
	Request  uint32     `msg:"q"` // echoed by the Pledge that answers
	Revision uint32     `msg:"r"` // counts changes of the fields below
	Flags    uint8      `msg:"f"`
	Seen     uint32     `msg:"e"` // request of the newest Pledge received
	Seq      uint64     `msg:"s"` // number of the newest assignment change
	State    []Grant    `msg:"g"` // all assignments, if heartbeatState is set
	Next     ident.Node `msg:"n"` // proposed deputy of a takeover, if heartbeatState is set
}

// Bits of Heartbeat.Flags.
const (
	heartbeatState  uint8 = 1 << 0 // State and Next are set
	heartbeatActive uint8 = 1 << 1 // no leader of an older term grants leases any more
)

// Pledge promises the leader of Term that its sender gives no range away for
// the lease duration from its receipt of the Heartbeat.
type Pledge struct {
	Term     uint64 `msg:"t"`
	Request  uint32 `msg:"q"`
	Revision uint32 `msg:"r"` // newest revision that the deputy holds
	Seq      uint64 `msg:"s"` // assignment change of that revision
}

// Handover asks the deputy to claim because the leader is about to stop.
type Handover struct {
	Term uint64 `msg:"t"`
}

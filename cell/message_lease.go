package cell

//msgp:limit arrays:4096 maps:16
//msgp:tuple Renew Lease Lead

import "github.com/parsleystack/parsleystack/ident"

// Renew asks the leader of Term for a lease. It is sent by members.
type Renew struct {
	Term    uint64 `msg:"t"`
	Request uint32 `msg:"q"` // echoed by the Lease that answers
	Version uint32 `msg:"v"` // version of the member's grants in this term; 0 before the first
	Flags   uint8  `msg:"f"`
	// Seen is the request of the newest Lease received in this term. It shows
	// the leader that its messages arrive.
	Seen uint32 `msg:"e"`
	// Lead is the sequence number of the newest Lead received in this term. It
	// is sent once, and until the first grants of the term arrive; Holds is
	// filled until then.
	Lead uint32 `msg:"s"`
	// Holds lists the grants of an older term that are unexpired on the
	// member's clock.
	Holds []Grant `msg:"h"`
	// Report is the newest assignment state that a process knows which led an
	// older term or was its deputy. It is sent along with Holds.
	Report *State      `msg:"r"`
	Load   []RangeLoad `msg:"l"`
}

// Bits of Renew.Flags.
const (
	renewNotReady uint8 = 1 << 0 // the target takes no requests
	renewLeaving  uint8 = 1 << 1 // the member has been asked to stop
)

// Lease answers a Renew, or, with Request 0, changes the member's grants
// without extending its lease.
type Lease struct {
	Term    uint64 `msg:"t"`
	Request uint32 `msg:"q"`
	Micros  uint32 `msg:"d"` // duration from the sending of the Renew, in microseconds
	Version uint32 `msg:"v"` // version of the member's grants
	Flags   uint8  `msg:"f"`
	// To is the receiver's incarnation; it is set if Grants is.
	To ident.Incarnation `msg:"i"`
	// Grants replaces the member's grants if leaseGrants is set.
	Grants []Grant `msg:"g"`
}

// Bits of Lease.Flags.
const (
	leaseGrants   uint8 = 1 << 0 // Grants is set
	leaseMayLeave uint8 = 1 << 1 // a leaving member has nothing left to hand over
	leaseUnseen   uint8 = 1 << 2 // no lease before a Renew shows that this message arrived
)

// Lead tells a member that the sender leads the cell in Term. It is sent after
// the sender has read its claim, until the member renews.
type Lead struct {
	Term uint64 `msg:"t"`
	Seq  uint32 `msg:"s"`
}

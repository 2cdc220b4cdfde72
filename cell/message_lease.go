package cell

//msgp:limit arrays:4096 maps:16
//msgp:tuple Renew Lease LeaderNotice

import "github.com/parsleystack/parsleystack/ident"

// Renew is sent by a member to request a lease from the leader of Term.
type Renew struct {
	Term    uint64 `msg:"t"`
	Request uint32 `msg:"q"` // echoed by the Lease that answers
	Version uint32 `msg:"v"` // version of the member's grants in this term; 0 if it has received none
	Flags   uint8  `msg:"f"`
	// SeenLease is the Request of the newest Lease received in this term. It shows
	// the leader that its messages reach the member.
	SeenLease uint32 `msg:"e"`
	// NoticeSeq is the Seq of the newest LeaderNotice received in this term. It
	// is sent once after each notice, and in every Renew until the first grants
	// of the term arrive. HeldGrants is set until then too.
	NoticeSeq uint32 `msg:"s"`
	// HeldGrants lists the grants of an older term that have not expired on the
	// member's clock.
	HeldGrants []Grant `msg:"h"`
	// Report is the newest assignment state of a process that was leader or
	// deputy of an older term. It is sent along with HeldGrants.
	Report *State      `msg:"r"`
	Load   []RangeLoad `msg:"l"`
}

// Bits of Renew.Flags.
const (
	renewNotReady uint8 = 1 << 0 // the target does not accept requests
	renewLeaving  uint8 = 1 << 1 // the member has been asked to stop
)

// Lease answers a Renew. With Request 0 it changes the member's grants without
// extending its lease.
type Lease struct {
	Term           uint64 `msg:"t"`
	Request        uint32 `msg:"q"`
	DurationMicros uint32 `msg:"d"` // duration from the sending of the Renew, in microseconds
	Version        uint32 `msg:"v"` // version of the member's grants
	Flags          uint8  `msg:"f"`
	// To is the recipient's incarnation; it is set if Grants is.
	To ident.Incarnation `msg:"i"`
	// Grants replaces the member's grants if leaseGrants is set.
	Grants []Grant `msg:"g"`
}

// Bits of Lease.Flags.
const (
	leaseGrants   uint8 = 1 << 0 // Grants is set
	leaseMayLeave uint8 = 1 << 1 // a leaving member has nothing more to hand over
	leaseNeedsAck uint8 = 1 << 2 // no lease is granted until a Renew acknowledges this message
)

// LeaderNotice notifies a member that the sender leads the cell in Term. It is
// sent from the time that the sender has read its claim until the member renews.
type LeaderNotice struct {
	Term uint64 `msg:"t"`
	Seq  uint32 `msg:"s"`
}

package cell

//msgp:limit arrays:4096 maps:16
//msgp:tuple Prepare PrepareDone Release ReleaseDone

// Prepare asks a member to prepare its target to own a range.
type Prepare struct {
	Term  uint64 `msg:"t"`
	Grant Grant  `msg:"g"` // the new owner, with the token of the current grant
}

// PrepareDone reports that the target is ready to own the range.
type PrepareDone struct {
	Term  uint64 `msg:"t"`
	Grant Grant  `msg:"g"`
}

// Release asks the owner of a grant to stop admitting requests, and to release
// the range when no request of it is in flight.
type Release struct {
	Term  uint64 `msg:"t"`
	Grant Grant  `msg:"g"`
}

// ReleaseDone reports that the owner has released the grant or, if Resumed is
// set, that it admits requests again because those in flight did not finish
// within the limit.
type ReleaseDone struct {
	Term    uint64 `msg:"t"`
	Grant   Grant  `msg:"g"`
	Resumed bool   `msg:"r"`
}

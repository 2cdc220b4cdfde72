package cell

//msgp:limit arrays:4096 maps:16
//msgp:tuple Prepare PrepareDone Release ReleaseDone

// Prepare asks a member to get its target ready to own a range.
type Prepare struct {
	Term  uint64 `msg:"t"`
	Grant Grant  `msg:"g"` // the owner to be, with the token of the present grant
}

// PrepareDone reports that the target is ready to own the range.
type PrepareDone struct {
	Term  uint64 `msg:"t"`
	Grant Grant  `msg:"g"`
}

// Release asks the owner of a grant to stop admitting requests and to give the
// range up when no work of it is in flight.
type Release struct {
	Term  uint64 `msg:"t"`
	Grant Grant  `msg:"g"`
}

// ReleaseDone reports that the owner has given the grant up, or that it has
// taken up admission again because work in flight did not end.
type ReleaseDone struct {
	Term    uint64 `msg:"t"`
	Grant   Grant  `msg:"g"`
	Resumed bool   `msg:"r"`
}

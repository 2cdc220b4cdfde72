package faultplan

// Direction says which links of a daemon a cut takes.
type Direction string

const (
	Both     Direction = "both"     // to and from all other daemons; data arrives late
	Inbound  Direction = "inbound"  // what others send to the daemon; data arrives late
	Outbound Direction = "outbound" // what the daemon sends to others; data arrives late
	Reset    Direction = "reset"    // all connections to and from the daemon are closed
)

package faultplan

// Direction selects the links of a daemon that a cut affects.
type Direction string

const (
	Both     Direction = "both"     // to and from all other daemons; data is delayed until the cut ends
	Inbound  Direction = "inbound"  // from other daemons to this one; data is delayed until the cut ends
	Outbound Direction = "outbound" // from this daemon to others; data is delayed until the cut ends
	Reset    Direction = "reset"    // all connections to and from the daemon are closed
)

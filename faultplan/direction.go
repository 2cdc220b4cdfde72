package faultplan

// Direction says which links of a daemon a cut takes.
type Direction string

const (
	Both     Direction = "both"     // to and from all other daemons
	Inbound  Direction = "inbound"  // what others send to the daemon
	Outbound Direction = "outbound" // what the daemon sends to others
)

package cell

//msgp:tuple Member

import "github.com/parsleystack/parsleystack/ident"

// Member describes one daemon and its target, as announced by the daemon.
type Member struct {
	Node     ident.Node `msg:"n"`
	Zone     ident.Zone `msg:"z"`
	Addr     string     `msg:"a"` // address for messages from other daemons, IP:port
	Capacity int        `msg:"c"` // concurrent requests that its target accepts
	Version  int        `msg:"v"` // newest record and message version that it supports
}

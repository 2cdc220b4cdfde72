package cell

//msgp:tuple Member

import "github.com/parsleystack/parsleystack/ident"

// Member is one daemon and its target as they announce themselves.
type Member struct {
	Node     ident.Node `msg:"n"`
	Zone     ident.Zone `msg:"z"`
	Addr     string     `msg:"a"` // address that daemons reach it at, IP:port
	Capacity int        `msg:"c"` // concurrent requests that its target takes
	Version  int        `msg:"v"` // newest record and message version that it understands
}

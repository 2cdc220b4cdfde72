package daemon

import (
	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/wire"
)

// hint returns the owner of p in the newest view of the cell. It reports false
// if the owner is unknown or is this daemon.
func (d *Daemon) hint(p keyspace.Point) (wire.Hint, bool) {
	member := d.member.Load()
	if member == nil {
		return wire.Hint{}, false
	}
	v := member.View()
	g, ok := grantAt(v.Assignments, p)
	if !ok || g.Owner == d.node {
		return wire.Hint{}, false
	}
	m, ok := v.Member(g.Owner)
	if !ok {
		return wire.Hint{}, false
	}
	return wire.Hint{Range: g.Range, Owner: g.Owner, Addr: m.Addr, Zone: m.Zone, Token: g.Token}, true
}

func grantAt(grants []cell.Grant, p keyspace.Point) (cell.Grant, bool) {
	for _, g := range grants {
		if g.Range.Contains(p) {
			return g, true
		}
	}
	return cell.Grant{}, false
}

package sidecar

import (
	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
)

// renewSilentLinks replaces the connections to daemons with which no statuses are
// exchanged in one direction or in both.
func (c *control) renewSilentLinks(now clock.Time) {
	peers := c.dir.Peers()
	intervals := c.statusIntervals(peers)
	for _, p := range peers {
		suspected := c.suspected[ident.Instance(p.Member.Instance)]
		if !p.RenewDue(suspected, c.echoedAt(p), intervals[c.peerKind(p)], now) {
			continue
		}
		p.RenewedAt = now
		logevent.Log(c.log, logevent.LinksRenewed, zap.String("daemon", p.Member.Instance), zap.Bool("suspected", suspected))
		c.d.peerLinks.Renew(p.Member.Addr)
	}
}

// echoedAt returns when the newest status that p has echoed was sent, clock.Never if
// that is not known.
func (c *control) echoedAt(p *fleet.Peer) clock.Time {
	if p.Echo == 0 || c.status.seq-p.Echo >= sentAtSize {
		return clock.Never
	}
	return c.status.sentAt[p.Echo%sentAtSize]
}

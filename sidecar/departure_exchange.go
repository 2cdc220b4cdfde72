package sidecar

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
)

// departureTimeout bounds the exchange of a departure with one daemon. Several fit in the time
// in which the target waits for the acknowledgement.
const departureTimeout = 250 * time.Millisecond

// errDepartureNotKept reports that a daemon has no record of the daemon whose target departs.
var errDepartureNotKept = errors.New("the daemon of the departing target is not in the directory; send its record again")

// pushDeparture sends the departure of the target to other daemons while the store does not
// have it. They tell the next process of this daemon, which may not find it in the store.
func (c *control) pushDeparture(now clock.Time) {
	s := &c.heartbeats.departure
	if c.self.State != fleet.TargetLeaving || c.departureKept() || now.Sub(s.since) < departurePushAfter || s.pushed != clock.Never && now.Sub(s.pushed) < departurePushInterval {
		return
	}
	s.pushed = now
	record, revision := c.self.Encode(), s.revision
	keepers := c.chooseKeepers()
	s.needed = min(minKeepers, len(keepers))
	for _, p := range keepers {
		name, addr := ident.Instance(p.Member.Instance), p.Member.Addr
		go func() {
			if c.d.sendDeparture(addr, record) == nil {
				c.do(func() { c.departureKeptBy(name, revision) })
			}
		}()
	}
}

// chooseKeepers returns the daemons that are asked to keep the departure: some more than
// needed, of the own service first, which hold the record anyway.
func (c *control) chooseKeepers() []*fleet.Peer {
	var own, others []*fleet.Peer
	for _, p := range c.dir.Peers() {
		switch {
		case c.suspected[ident.Instance(p.Member.Instance)] || p.Stopping:
		case c.sameService(p):
			own = append(own, p)
		default:
			others = append(others, p)
		}
	}
	all := append(own, others...)
	return all[:min(len(all), 2*minKeepers)]
}

// departureKeptBy records that a daemon keeps the departure that a revision of the own record
// states.
func (c *control) departureKeptBy(name ident.Instance, revision uint64) {
	s := &c.heartbeats.departure
	if s.revision != revision {
		return
	}
	s.keepers[name] = true
	c.acknowledgeDeparture()
}

// sendDeparture sends the record of a daemon whose target departs to one daemon.
func (d *Daemon) sendDeparture(addr string, record []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), departureTimeout)
	defer cancel()
	_, err := d.peerLinks.Call(ctx, addr, callDeparture, record)
	if err != nil {
		logevent.Log(d.log, logevent.UpdateNotForwarded, zap.String("to", addr), zap.String("what", "departure"), zap.Error(err))
	}
	return err
}

// serveDeparture keeps the departure of the target of the daemon that a record names: another
// one, or this one, whose earlier process had acknowledged it.
func (d *Daemon) serveDeparture(ctx context.Context, body []byte) error {
	m, err := fleet.DecodeMember(body)
	if err != nil {
		return err
	}
	kept := false
	if !d.control.doAndWait(ctx, func() { kept = d.control.keepDeparture(m) }) {
		return context.Cause(ctx)
	}
	if !kept {
		return errDepartureNotKept
	}
	return nil
}

// keepDeparture keeps the departure that a record states and reports whether it did.
func (c *control) keepDeparture(m *fleet.Member) bool {
	if m.State != fleet.TargetLeaving {
		return false
	}
	if m.Instance == c.self.Instance {
		c.inheritDepartureOfCurrent(m)
		return true
	}
	c.applyPeer(m)
	p := c.dir.Peer(ident.Instance(m.Instance))
	return p != nil && p.Member.State == fleet.TargetLeaving && p.Member.TargetID == m.TargetID && p.Member.TargetStartMS == m.TargetStartMS
}

// remindOfDeparture tells a daemon that an earlier process of it has announced the departure
// of its target. Few daemons do so, since all know.
func (c *control) remindOfDeparture(p *fleet.Peer) {
	if !p.ForgotDeparture || c.reminderRank(p) >= maxIntroducers {
		return
	}
	record, addr := p.Member.Encode(), p.Member.Addr
	go func() { _ = c.d.sendDeparture(addr, record) }() // it was logged; the next status repeats it
}

// reminderRank returns the position of this daemon, by name, among those that could remind p.
func (c *control) reminderRank(p *fleet.Peer) int {
	rank := 0
	for _, other := range c.dir.Peers() {
		if other != p && !c.suspected[ident.Instance(other.Member.Instance)] && other.Member.Instance < c.self.Instance {
			rank++
		}
	}
	return rank
}

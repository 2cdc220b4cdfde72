package sidecar

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/ownertable"
)

const (
	// urgentInterval is the shortest time between statuses that are sent early
	// because of a change.
	urgentInterval = 20 * time.Millisecond
	// urgentPerS bounds the rate of early statuses that a daemon sends in a large
	// fleet, counted over all receivers.
	urgentPerS = 500
	// sentAtSize is the number of own statuses whose send times are kept. An echo
	// is at most some seconds old.
	sentAtSize = 256
	// catchUpAfter is how long another daemon may be ahead before the missing
	// records or configuration are fetched.
	catchUpAfter = 150 * time.Millisecond
	// confirmBelow is the remaining time of the lease below which it is confirmed by a
	// read of the store. Two status intervals pass between a status and its echo, which
	// leaves 1.4 s of the lease in a service of 71; larger ones read the store. A grant of
	// that length lasts until the next heartbeat of the target.
	confirmBelow = ownertable.LeaseTime * 45 / 100
	// confirmInterval is the time between reads that confirm a lease which is about
	// to expire.
	confirmInterval = 400 * time.Millisecond
	// removeInterval is the time between checks for daemons to remove from the
	// directory. It is longer than the store takes to show a removal.
	removeInterval = 2 * time.Second
	// fetchTimeout bounds a call to another daemon, and a read or append that is
	// made outside of the followers.
	fetchTimeout = time.Second
)

// statusState is the state of the status exchange with other daemons.
type statusState struct {
	seq        uint64
	sentAt     [sentAtSize]clock.Time // by seq modulo sentAtSize
	nextSend   [2]clock.Time          // by peer kind
	lastUrgent clock.Time
	// changedSeq is the sequence number of the first status with the current own
	// record.
	changedSeq  uint64
	urgent      bool       // a change must be sent before the next regular status is due
	behindSince clock.Time // since when another daemon is ahead; Never if none is
	fetching    bool

	nextConfirm clock.Time
	nextRemove  clock.Time
}

const (
	otherServices = 0
	ownService    = 1
)

// sendStatuses sends a status to each other daemon for which one is due.
func (c *control) sendStatuses(now clock.Time) {
	if !c.directoryLoaded {
		return
	}
	st := &c.status
	peers := c.dir.Peers()
	urgent := st.urgent && now.Sub(st.lastUrgent) >= max(urgentInterval, time.Duration(len(peers))*time.Second/urgentPerS)
	due := [2]bool{urgent || !now.Before(st.nextSend[otherServices]), urgent || !now.Before(st.nextSend[ownService])}
	if !due[otherServices] && !due[ownService] {
		return
	}
	st.seq++
	st.sentAt[st.seq%sentAtSize] = now
	intervals := c.statusIntervals(peers)
	s := c.ownStatus()
	for _, p := range peers {
		kind := c.peerKind(p)
		if !due[kind] {
			continue
		}
		s.Echo, s.EchoIncarnation = p.LastSeq, p.Member.Incarnation
		s.IntervalMS = uint32(intervals[kind].Milliseconds())
		s.LeaseExtension = c.extendsLease(p)
		s.Member = c.memberFor(p)
		c.d.peerLinks.Send(p.Member.Addr, s.Encode())
	}
	if urgent {
		st.urgent, st.lastUrgent = false, now
	}
	for kind, sent := range due {
		if sent {
			st.nextSend[kind] = now.Add(jittered(intervals[kind]/5) + intervals[kind]*9/10)
		}
	}
}

// memberFor returns the own record for a status to p, or a reference to it if p has
// acknowledged the current one.
func (c *control) memberFor(p *fleet.Peer) fleet.Member {
	if p.Echo >= c.status.changedSeq && p.Echo > 0 && !c.suspected[ident.Instance(p.Member.Instance)] {
		return c.self.Reference()
	}
	return c.self
}

func (c *control) peerKind(p *fleet.Peer) int {
	if c.sameService(p) {
		return ownService
	}
	return otherServices
}

// statusIntervals returns the times between statuses to a daemon of each kind.
func (c *control) statusIntervals(peers []*fleet.Peer) [2]time.Duration {
	n := [2]int{}
	for _, p := range peers {
		n[c.peerKind(p)]++
	}
	return [2]time.Duration{otherServices: fleet.StatusInterval(n[otherServices], false), ownService: fleet.StatusInterval(n[ownService], true)}
}

// ownStatus returns the part of a status that is the same for all receivers.
func (c *control) ownStatus() *fleet.Status {
	s := &fleet.Status{Seq: c.status.seq, Offset: int64(c.applied), Stopping: c.stopping, Load: c.d.backend.load(), Config: c.configVersion(), ConfigAgeMS: c.statusConfigurationAge(clock.Now()), ConfigHops: uint8(c.config.tracker.Hops())}
	c.stateEvacuations(s)
	for _, p := range c.dir.Peers() {
		if c.sameService(p) && c.suspected[ident.Instance(p.Member.Instance)] {
			s.Suspects = append(s.Suspects, p.Member.Instance)
		}
	}
	return s
}

// extendsLease reports whether this daemon can extend a peer's lease: it then
// proposes nothing that takes shards from the peer.
func (c *control) extendsLease(p *fleet.Peer) bool {
	if !c.sameService(p) {
		return false
	}
	return c.agent.MayExtendLease(ident.Instance(p.Member.Instance), uint64(max(p.Offset, 0)))
}

func (c *control) sameService(p *fleet.Peer) bool { return p.Member.Service == c.self.Service }

// handleStatus applies a status of another daemon.
func (c *control) handleStatus(s *fleet.Status) {
	if s.Member.Instance == c.self.Instance || s.Member.Instance == "" {
		return
	}
	now := clock.Now()
	c.recordKnownVersion(s.Config, now)
	c.viewStale = c.viewStale || !c.receivedStatus
	c.receivedStatus = true
	c.evacuationsStated(s)
	known := c.dir.Peer(ident.Instance(s.Member.Instance)) != nil
	joined := c.isNewProcess(&s.Member)
	p, changed := c.dir.ApplyStatus(s, now)
	if changed {
		c.agent.MembershipChanged(now)
		c.viewStale = true
		c.logPeer(&s.Member, false)
	}
	if !known {
		c.status.urgent = true
	}
	if p == nil {
		return
	}
	if joined {
		c.introduceEvidence(p)
	}
	c.remindOfDeparture(p)
	name := ident.Instance(s.Member.Instance)
	p.Echo = 0
	if s.EchoIncarnation == c.self.Incarnation {
		p.Echo = s.Echo
	}
	c.peerLoad(name, p.Member.Slots).report(&s.Load)
	if s.ConfigAgeMS != fleet.UnknownAge {
		c.confirmConfiguration(now.Add(-time.Duration(s.ConfigAgeMS)*time.Millisecond), int(s.ConfigHops))
	}
	if s.LeaseExtension && s.EchoIncarnation == c.self.Incarnation && c.status.seq-s.Echo < sentAtSize && s.Echo > 0 {
		c.agent.LeaseExtended(name, c.status.sentAt[s.Echo%sentAtSize])
	}
	if c.suspected[name] {
		delete(c.suspected, name)
		c.viewStale = true
		c.status.urgent = c.status.urgent || c.sameService(p)
		logevent.Log(c.log, logevent.PeerResponded, zap.String("daemon", s.Member.Instance))
	}
}

// suspectPeers marks daemons without a recent status as suspected.
func (c *control) suspectPeers(now clock.Time) {
	w := c.dir.NewFailureDetector(ident.Service(c.self.Service), now)
	for _, p := range c.dir.Peers() {
		name := ident.Instance(p.Member.Instance)
		if !c.suspected[name] && w.Suspected(p) {
			c.suspected[name] = true
			c.viewStale = true
			c.status.urgent = c.status.urgent || c.sameService(p)
			logevent.Log(c.log, logevent.PeerSuspected, zap.String("daemon", p.Member.Instance), zap.String("service", p.Member.Service), zap.Duration("for", now.Sub(p.LastSeen)))
		}
	}
}

// otherMembers returns the instances of the other members of the own service.
func (c *control) otherMembers() []ident.Instance {
	var names []ident.Instance
	for _, p := range c.dir.Peers() {
		if c.sameService(p) {
			names = append(names, ident.Instance(p.Member.Instance))
		}
	}
	return names
}

// confirmLease reads the store at once when the lease is about to expire. The long
// poll in progress was started while lease extensions kept the lease, so it may
// return too late.
func (c *control) confirmLease(now clock.Time) {
	st := &c.status
	if !c.keyed() || st.fetching || now.Before(st.nextConfirm) || c.agent.LeaseLeft(c.otherMembers(), now) > confirmBelow {
		return
	}
	st.fetching, st.nextConfirm = true, now.Add(confirmInterval)
	go c.d.readDirectory()
}

// removeFailedPeers removes daemons from the directory that have sent no status for
// fleet.RemovalTimeout and own no shards. A removed daemon that still runs reads its
// removal and joins again.
func (c *control) removeFailedPeers(now clock.Time) {
	if !c.agent.IsMember() || c.agent.Recovering() || c.rank() > 0 || c.stopping || now.Before(c.status.nextRemove) {
		return
	}
	c.status.nextRemove = now.Add(removeInterval)
	for _, p := range c.dir.Peers() {
		if !c.sameService(p) || now.Sub(p.LastSeen) < fleet.RemovalTimeout || c.ownsShards(ident.Instance(p.Member.Instance)) {
			continue
		}
		m := p.Member
		m.Removed = true
		m.Revision++
		logevent.Log(c.log, logevent.PeerRemoved, zap.String("daemon", m.Instance), zap.Duration("silent_for", now.Sub(p.LastSeen)))
		go c.d.removeMember(m)
	}
}

func (c *control) ownsShards(name ident.Instance) bool {
	t := c.agent.Table()
	return t != nil && slices.Contains(t.Owners(), name)
}

// catchUp reads records of the directory that another daemon has applied and that the
// follower has not read within catchUpAfter.
func (c *control) catchUp(now clock.Time) {
	st := &c.status
	if !c.directoryBehind() {
		st.behindSince = clock.Never
		return
	}
	if st.behindSince == clock.Never {
		st.behindSince = now
	}
	if st.fetching || now.Sub(st.behindSince) < c.catchUpDelay() && !c.peerInLaterEra() {
		return
	}
	c.startCatchUp()
}

// peerInLaterEra reports whether a daemon has read the directory in a later era of the
// store. Reading it here too shows the era to the followers.
func (c *control) peerInLaterEra() bool {
	return slices.ContainsFunc(c.dir.Peers(), func(p *fleet.Peer) bool { return metastore.Offset(p.Offset).Era() > c.era() })
}

// directoryBehind reports whether another daemon has read more of the directory.
func (c *control) directoryBehind() bool {
	return slices.ContainsFunc(c.dir.Peers(), func(p *fleet.Peer) bool {
		return p.Offset > int64(c.applied) && !c.suspected[ident.Instance(p.Member.Instance)]
	})
}

// readDirectory reads and applies the directory records after the applied ones.
func (d *Daemon) readDirectory() {
	ctx, cancel := d.fetchContext()
	defer cancel()
	from := metastore.Offset(d.control.appliedShared.Load())
	sent := clock.Now()
	b, err := d.store.Read(ctx, d.directory, from, 0)
	if err != nil {
		logevent.Log(d.log, logevent.UpdateNotFetched, zap.String("from", "store"), zap.Int64("offset", int64(from)), zap.Error(err))
		return
	}
	if d.control.readsDirectory.Load() {
		d.expectPolled(&d.directoryPolled, b)
	}
	d.control.do(func() { d.control.applyDirectory(from, b, sent, false) })
}

// fetchContext returns the context of one fetch. Its cancel function allows the next
// fetch to start.
func (d *Daemon) fetchContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	return ctx, func() {
		cancel()
		d.control.do(func() { d.control.status.fetching = false })
	}
}

// removeMember writes the removal of a daemon. If it fails, removeFailedPeers tries
// again.
func (d *Daemon) removeMember(m fleet.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	record := metastore.Record{Key: memberPrefix + m.Instance, Value: m.Encode()}
	if err := d.store.Append(ctx, d.directory, []metastore.Record{record}); err != nil {
		logevent.Log(d.log, logevent.RemovalFailed, zap.String("daemon", m.Instance), zap.Error(err))
	}
}

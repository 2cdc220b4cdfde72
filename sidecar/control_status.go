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
	// soonInterval is the shortest time between statuses that carry news.
	soonInterval = 20 * time.Millisecond
	// soonPerS bounds the statuses with news that a daemon sends in a large
	// fleet.
	soonPerS = 500
	// sentKept is the number of own statuses whose send times are kept; an echo
	// is at most some seconds old.
	sentKept = 256
	// catchUpAfter is how long another daemon may be ahead before its news is
	// fetched from it.
	catchUpAfter = 150 * time.Millisecond
	// confirmInterval is the time between reads that confirm a low lease.
	confirmInterval = 400 * time.Millisecond
	// forgetInterval is the time between looks for daemons to forget, longer
	// than the store takes to show a removal.
	forgetInterval = 2 * time.Second
	// fetchTimeout bounds the fetching of news from another daemon.
	fetchTimeout = time.Second
)

// statusState is what the exchange of statuses needs.
type statusState struct {
	seq    uint64
	sentAt [sentKept]clock.Time // by seq modulo sentKept
	next   [2]clock.Time        // to daemons of other services, and of the own one
	last   clock.Time
	// changedSeq is the first status with the own record as it is.
	changedSeq uint64
	soon       bool       // there is news
	behind     clock.Time // since when another daemon is ahead
	fetching   bool

	nextConfirm clock.Time
	nextForget  clock.Time
}

const (
	otherServices = 0
	ownService    = 1
)

// sendStatuses sends a status to each other daemon for which one is due.
func (c *control) sendStatuses(now clock.Time) {
	if !c.loaded {
		return
	}
	st := &c.status
	peers := c.dir.Peers()
	news := st.soon && now.Sub(st.last) >= max(soonInterval, time.Duration(len(peers))*time.Second/soonPerS)
	due := [2]bool{news || !now.Before(st.next[otherServices]), news || !now.Before(st.next[ownService])}
	if !due[otherServices] && !due[ownService] {
		return
	}
	st.seq++
	st.sentAt[st.seq%sentKept] = now
	intervals := c.statusIntervals(peers)
	s := c.ownStatus()
	for _, p := range peers {
		kind := c.kindOf(p)
		if !due[kind] {
			continue
		}
		s.Echo, s.EchoOf = p.LastSeq, p.Member.Incarnation
		s.EveryMS = uint32(intervals[kind].Milliseconds())
		s.Promise = c.promises(p)
		s.Member = c.selfFor(p)
		c.d.links.Send(p.Member.Addr, s.Encode())
	}
	if news {
		st.soon, st.last = false, now
	}
	for kind, sent := range due {
		if sent {
			st.next[kind] = now.Add(jittered(intervals[kind]/5) + intervals[kind]*9/10)
		}
	}
}

// selfFor returns the own record, briefly for a daemon that has it.
func (c *control) selfFor(p *fleet.Peer) fleet.Member {
	if p.Echo >= c.status.changedSeq && p.Echo > 0 && !c.silent[ident.Instance(p.Member.Instance)] {
		return c.self.Brief()
	}
	return c.self
}

func (c *control) kindOf(p *fleet.Peer) int {
	if c.sameService(p) {
		return ownService
	}
	return otherServices
}

// statusIntervals returns the times between statuses to a daemon of each kind.
func (c *control) statusIntervals(peers []*fleet.Peer) [2]time.Duration {
	n := [2]int{}
	for _, p := range peers {
		n[c.kindOf(p)]++
	}
	return [2]time.Duration{otherServices: fleet.Interval(n[otherServices], false), ownService: fleet.Interval(n[ownService], true)}
}

// ownStatus returns what this daemon tells all others.
func (c *control) ownStatus() *fleet.Status {
	s := &fleet.Status{Seq: c.status.seq, Offset: int64(c.read), Stop: c.stopping, Load: c.d.backend.load(), Config: c.configVersion()}
	for _, p := range c.dir.Peers() {
		if c.sameService(p) && c.silent[ident.Instance(p.Member.Instance)] {
			s.Quiet = append(s.Quiet, p.Member.Instance)
		}
	}
	return s
}

// promises reports whether this daemon can promise a peer that it proposes
// nothing that takes rows from it.
func (c *control) promises(p *fleet.Peer) bool {
	if !c.sameService(p) {
		return false
	}
	return c.agent.Promises(ident.Instance(p.Member.Instance), uint64(max(p.Offset, 0)))
}

func (c *control) sameService(p *fleet.Peer) bool { return p.Member.Service == c.self.Service }

// takeStatus takes a status of another daemon.
func (c *control) takeStatus(s *fleet.Status) {
	if s.Member.Instance == c.self.Instance || s.Member.Instance == "" {
		return
	}
	now := clock.Now()
	known := c.dir.Peer(ident.Instance(s.Member.Instance)) != nil
	p, news := c.dir.Hear(s, now)
	if news {
		c.agent.Changed(now)
		c.stale = true
		c.logPeer(&s.Member, false)
	}
	if !known {
		c.status.soon = true
	}
	if p == nil {
		return
	}
	name := ident.Instance(s.Member.Instance)
	p.Echo = 0
	if s.EchoOf == c.self.Incarnation {
		p.Echo = s.Echo
	}
	c.load(name, p.Member.Slots).report(&s.Load)
	c.newest = max(c.newest, s.Config)
	if s.Promise && s.EchoOf == c.self.Incarnation && c.status.seq-s.Echo < sentKept && s.Echo > 0 {
		c.agent.Promised(name, c.status.sentAt[s.Echo%sentKept])
	}
	if c.silent[name] {
		delete(c.silent, name)
		c.stale = true
		c.status.soon = c.status.soon || c.sameService(p)
		logevent.Log(c.log, logevent.PeerResponded, zap.String("daemon", s.Member.Instance))
	}
}

// watchSilence notes daemons that are not heard any more.
func (c *control) watchSilence(now clock.Time) {
	w := c.dir.NewWatch(ident.Service(c.self.Service), now)
	for _, p := range c.dir.Peers() {
		name := ident.Instance(p.Member.Instance)
		if !c.silent[name] && w.Silent(p) {
			c.silent[name] = true
			c.stale = true
			c.status.soon = c.status.soon || c.sameService(p)
			logevent.Log(c.log, logevent.PeerSuspected, zap.String("daemon", p.Member.Instance), zap.String("service", p.Member.Service), zap.Duration("for", now.Sub(p.Heard)))
		}
	}
}

// others returns the other members of the own service.
func (c *control) others() []ident.Instance {
	var names []ident.Instance
	for _, p := range c.dir.Peers() {
		if c.sameService(p) {
			names = append(names, ident.Instance(p.Member.Instance))
		}
	}
	return names
}

// confirmLease reads the store at once when the lease runs low, since a read
// that waits for news was begun while promises kept the lease.
func (c *control) confirmLease(now clock.Time) {
	st := &c.status
	if !c.keyed() || st.fetching || now.Before(st.nextConfirm) || c.agent.LeaseLeft(c.others(), now) > ownertable.LeaseTime/2 {
		return
	}
	st.fetching, st.nextConfirm = true, now.Add(confirmInterval)
	go c.d.readDirectory()
}

// forgetGone takes daemons out of the directory that stay silent and own
// nothing. One that lives sees it and joins again.
func (c *control) forgetGone(now clock.Time) {
	if !c.agent.IsMember() || c.rank() > 0 || c.stopping || now.Before(c.status.nextForget) {
		return
	}
	c.status.nextForget = now.Add(forgetInterval)
	for _, p := range c.dir.Peers() {
		if !c.sameService(p) || now.Sub(p.Heard) < fleet.ForgetAfter || c.ownsRows(ident.Instance(p.Member.Instance)) {
			continue
		}
		m := p.Member
		m.Gone = true
		m.Revision++
		logevent.Log(c.log, logevent.PeerRemoved, zap.String("daemon", m.Instance), zap.Duration("silent_for", now.Sub(p.Heard)))
		go c.d.forget(m)
	}
}

func (c *control) ownsRows(name ident.Instance) bool {
	t := c.agent.Table()
	return t != nil && slices.Contains(t.Owners(), name)
}

// catchUp fetches news that another daemon has and that the store has not
// brought.
func (c *control) catchUp(now clock.Time) {
	st := &c.status
	from, config := c.ahead()
	if from == "" {
		st.behind = clock.Never
		return
	}
	if st.behind == clock.Never {
		st.behind = now
	}
	if st.fetching || now.Sub(st.behind) < catchUpAfter {
		return
	}
	st.fetching, st.behind = true, clock.Never
	if config {
		go c.d.fetchConfiguration(from)
		return
	}
	go c.d.readDirectory()
}

// ahead returns the address of a daemon with newer news, and whether it is the
// configuration.
func (c *control) ahead() (addr string, config bool) {
	version := c.configVersion()
	for _, p := range c.dir.Peers() {
		if c.silent[ident.Instance(p.Member.Instance)] {
			continue
		}
		if p.Config > version {
			return p.Member.Addr, true
		}
		if p.Offset > int64(c.read) {
			addr = p.Member.Addr
		}
	}
	return addr, false
}

// fetchConfiguration brings the configuration that another daemon has.
func (d *Daemon) fetchConfiguration(addr string) {
	ctx, cancel := d.fetching()
	defer cancel()
	value, err := d.links.Call(ctx, addr, callConfig, nil)
	if err != nil {
		logevent.Log(d.log, logevent.UpdateNotFetched, zap.String("from", addr), zap.Error(err))
		return
	}
	d.control.do(func() { d.control.takeConfiguration(value) })
}

// readDirectory brings what the store holds beyond what is known.
func (d *Daemon) readDirectory() {
	ctx, cancel := d.fetching()
	defer cancel()
	from := metastore.Offset(d.control.known.Load())
	sent := clock.Now()
	b, err := d.store.Read(ctx, d.directory, from, 0)
	if err != nil {
		logevent.Log(d.log, logevent.UpdateNotFetched, zap.String("from", "store"), zap.Int64("offset", int64(from)), zap.Error(err))
		return
	}
	d.control.do(func() { d.control.takeDirectory(from, b, sent, false) })
}

// fetching bounds one fetch. Its cancel lets the next one begin.
func (d *Daemon) fetching() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	return ctx, func() {
		cancel()
		d.control.do(func() { d.control.status.fetching = false })
	}
}

// forget writes the removal of a daemon. Another try follows if it fails.
func (d *Daemon) forget(m fleet.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	record := metastore.Record{Key: memberPrefix + m.Instance, Value: m.Encode()}
	if err := d.store.Append(ctx, d.directory, []metastore.Record{record}); err != nil {
		logevent.Log(d.log, logevent.RemovalFailed, zap.String("daemon", m.Instance), zap.Error(err))
	}
}

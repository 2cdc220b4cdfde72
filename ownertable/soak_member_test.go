package ownertable

import (
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

const (
	// simClockSkew is the greatest difference of the wall clocks in records.
	simClockSkew = 10 * time.Second
	// simJoinSpan is the time in which the daemons of a new fleet start.
	simJoinSpan = 25 * time.Second
)

// memberRecord is the record of a daemon.
type memberRecord struct {
	name    ident.Instance
	process int
	joined  time.Duration
}

// membership is what a daemon knows about the members of its service.
type membership struct {
	joined   time.Duration // in its own record
	read     bool          // the directory was read whole in the store's era
	recorded bool          // a record of this daemon was read in the store's era
	writing  bool          // the append of its record has not returned
	others   map[ident.Instance]bool
}

// startNodes starts the daemons: of an old fleet at once, beside records of earlier
// processes, of a new one over some time.
func (w *simulation) startNodes() {
	if w.rng.IntN(3) > 0 {
		w.startOldFleet()
		return
	}
	for _, n := range w.nodes {
		w.schedule(time.Duration(w.rng.Int64N(int64(simJoinSpan))), n.start)
	}
}

func (w *simulation) startOldFleet() {
	for _, n := range w.nodes {
		w.store.append(storedRecord{member: &memberRecord{name: n.name, joined: w.now - time.Hour}}, w.now-time.Hour)
	}
	for _, n := range w.nodes {
		n.start()
	}
}

// memberFound adds another daemon to the known members.
func (n *node) memberFound(name ident.Instance) {
	if name != n.name && !n.membership.others[name] {
		n.membership.others[name] = true
		n.agent.MembershipChanged(n.clock())
	}
}

// memberRead applies the record of a daemon. A new process takes over when its
// instance joined.
func (n *node) memberRead(r *memberRecord) {
	if r.name != n.name {
		n.memberFound(r.name)
		return
	}
	m := &n.membership
	m.recorded = true
	if r.process != n.process {
		m.joined = min(m.joined, r.joined)
		return
	}
	age := n.sim.now - m.joined - simClockSkew
	if n.agent.Era() > 0 {
		age -= MaxCopyAge
	}
	if n.sim.activeFault == assumeEstablished {
		age = time.Hour
	}
	n.agent.Joined(n.clock(), max(age, 0))
}

// directoryRead joins anew if the directory contained no record of this daemon when
// it was first read whole in the store's era.
func (n *node) directoryRead() {
	m := &n.membership
	if !m.read && !m.recorded {
		m.joined = n.sim.now
	}
	m.read = true
}

// writeMember appends the daemon's record until it is read back.
func (n *node) writeMember() {
	m, w, process := &n.membership, n.sim, n.process
	if !m.read || m.writing || n.agent.IsMember() {
		return
	}
	m.writing = true
	w.schedule(time.Second, func() { n.whenActive(process, func() { m.writing = false }) })
	delay := w.delay()
	if w.rng.IntN(6) == 0 && !w.quiet {
		delay = time.Duration(w.rng.IntN(5000)) * time.Millisecond
	}
	r := &memberRecord{name: n.name, process: process, joined: m.joined}
	w.schedule(delay, func() {
		if w.now >= w.store.downUntil && w.now >= n.storeCutUntil {
			w.store.append(storedRecord{member: r}, w.now)
		}
	})
}

// loseMembers drops the records of the daemons from the store.
func (w *simulation) loseMembers() {
	var kept []storedRecord
	for _, r := range w.store.log {
		if r.member == nil {
			kept = append(kept, r)
		}
	}
	w.store.log = kept
}

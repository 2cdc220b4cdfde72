package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

const (
	// SuspectTimeout is the minimum time without a status after which a daemon is
	// suspected to have failed. It tolerates one lost status in a small fleet.
	SuspectTimeout = 1000 * time.Millisecond
	// InitialSuspectTimeout replaces the suspect timeout for a daemon that has
	// sent no status yet, since it may still be starting.
	InitialSuspectTimeout = 2500 * time.Millisecond
	// RemovalTimeout is the time without a status after which a daemon that owns
	// no shards is removed from the directory. It is longer than a restart, which
	// takes about a second, and short because lease extensions in its service
	// need the store until the daemon is removed.
	RemovalTimeout = 5 * time.Second
)

// Peer is what this daemon has received about another daemon.
type Peer struct {
	Member         Member
	Load           Load          // from the newest status
	LastSeen       clock.Time    // receipt of the newest status, or of the record before a first status
	Config         uint64        // version of its configuration
	Offset         int64         // end of the directory as it has read it
	LastSeq        uint64        // highest Seq received from its current process
	Echo           uint64        // highest Seq of this daemon that it has received, 0 if unknown
	Stopping       bool          // its process is about to stop
	Responded      bool          // it has sent a status since its record was received
	Suspects       []string      // daemons of its service that it suspects
	StatusInterval time.Duration // interval of its statuses to this daemon, as it declares
	RenewedAt      clock.Time    // when the connections to it were last replaced, Never if they were not
	// ForgotDeparture is set while its process states that a target is present whose
	// departure an earlier process had announced. Member.State stays TargetLeaving.
	ForgotDeparture bool
}

// forgetsDeparture reports whether m, a newer record, lacks the departure of the target that
// the present one states.
func (p *Peer) forgetsDeparture(m *Member) bool {
	sameTarget := m.Service == p.Member.Service && m.TargetID == p.Member.TargetID && m.TargetStartMS == p.Member.TargetStartMS
	laterProcess := m.Incarnation != p.Member.Incarnation || p.ForgotDeparture
	return sameTarget && laterProcess && p.Member.State == TargetLeaving && m.State != TargetLeaving
}

// Directory holds all daemons except this one. It is part of the control state
// and not safe for concurrent use.
type Directory struct {
	peers  map[ident.Instance]*Peer
	sorted []*Peer // by name; nil after a daemon was added or removed
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{peers: make(map[ident.Instance]*Peer)} }

// ApplyMember stores a member record. It reports whether the record is new, which it
// is not if the directory has the same or a newer one. The departure of a target is final: a
// later process of its daemon may have forgotten it.
func (d *Directory) ApplyMember(m *Member, now clock.Time) bool {
	name := ident.Instance(m.Instance)
	p := d.peers[name]
	if p == nil {
		d.peers[name] = &Peer{Member: *m, LastSeen: now}
		d.sorted = nil
		return true
	}
	if !m.Newer(&p.Member) {
		return false
	}
	p.ForgotDeparture = p.forgetsDeparture(m)
	if m.Incarnation != p.Member.Incarnation {
		p.LastSeq, p.Responded, p.Stopping = 0, false, false
		p.LastSeen = now
	}
	p.Member = *m
	if p.ForgotDeparture {
		p.Member.State = TargetLeaving
	}
	return true
}

// ApplyStatus processes a status. It returns the sender, and reports whether the
// sender's record is new or its Stopping flag has changed. The peer is nil if
// the status is older than one received before, or if it refers to a record
// that the directory does not hold.
func (d *Directory) ApplyStatus(s *Status, now clock.Time) (p *Peer, changed bool) {
	p = d.peers[ident.Instance(s.Member.Instance)]
	switch {
	case !s.Member.isReference():
		changed = d.ApplyMember(&s.Member, now)
		p = d.peers[ident.Instance(s.Member.Instance)]
	case p == nil || p.Member.Reference() != s.Member:
		return nil, false
	}
	if s.Member.Incarnation != p.Member.Incarnation || s.Seq <= p.LastSeq {
		return nil, changed
	}
	p.LastSeq, p.LastSeen, p.Responded = s.Seq, now, true
	p.Load, p.Config, p.Offset, p.Suspects = s.Load, s.Config, s.Offset, s.Suspects
	p.StatusInterval = time.Duration(s.IntervalMS) * time.Millisecond
	changed = changed || p.Stopping != s.Stopping
	p.Stopping = s.Stopping
	return p, changed
}

// Remove deletes a daemon from the directory.
func (d *Directory) Remove(name ident.Instance) {
	delete(d.peers, name)
	d.sorted = nil
}

// Peer returns the daemon with the name, or nil.
func (d *Directory) Peer(name ident.Instance) *Peer { return d.peers[name] }

// Peers returns all daemons sorted by name. The caller must not change the
// slice. Later additions and removals do not change it.
func (d *Directory) Peers() []*Peer {
	if d.sorted == nil {
		d.sorted = make([]*Peer, 0, len(d.peers))
		for _, name := range slices.Sorted(maps.Keys(d.peers)) {
			d.sorted = append(d.sorted, d.peers[name])
		}
	}
	return d.sorted
}

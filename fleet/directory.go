package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

const (
	// SilentAfter is the least time without a status after which a daemon counts
	// as lost. It covers one lost status in a small fleet.
	SilentAfter = 1000 * time.Millisecond
	// SilentAtFirst is the same for a daemon that was never heard, since it may
	// just be starting.
	SilentAtFirst = 2500 * time.Millisecond
	// ForgetAfter is the silence after which a daemon that owns nothing is
	// removed from the directory: a restart takes about a second, and until the
	// removal leases of its service need the store.
	ForgetAfter = 5 * time.Second
)

// Peer is another daemon as this one knows it.
type Peer struct {
	Member   Member
	Load     Load       // of the newest status
	Heard    clock.Time // when the newest status came, or the record was learnt
	Config   uint64
	Offset   int64
	LastSeq  uint64        // newest Seq of its present process
	Echo     uint64        // newest own Seq that it has, 0 if unknown
	Stopping bool          // its process is about to stop
	Answered bool          // it has sent a status since its record was learnt
	Quiet    []string      // daemons of its service that it does not hear
	Every    time.Duration // between its statuses to this daemon, as it says
}

// Directory holds all daemons but this one. It belongs to the control state.
type Directory struct {
	peers  map[ident.Instance]*Peer
	sorted []*Peer // by name; nil after a change
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{peers: make(map[ident.Instance]*Peer)} }

// Learn takes a record, and reports whether it is news.
func (d *Directory) Learn(m *Member, now clock.Time) bool {
	name := ident.Instance(m.Instance)
	p := d.peers[name]
	if p == nil {
		d.peers[name] = &Peer{Member: *m, Heard: now}
		d.sorted = nil
		return true
	}
	if !m.Newer(&p.Member) {
		return false
	}
	if m.Incarnation != p.Member.Incarnation {
		p.LastSeq, p.Answered, p.Stopping = 0, false, false
		p.Heard = now
	}
	p.Member = *m
	return true
}

// Hear takes a status. It reports whether the sender's record was news, and
// returns nil for a status older than one that was heard, and for a brief one
// of a record that is not known.
func (d *Directory) Hear(s *Status, now clock.Time) (p *Peer, news bool) {
	p = d.peers[ident.Instance(s.Member.Instance)]
	switch {
	case !s.Member.isBrief():
		news = d.Learn(&s.Member, now)
		p = d.peers[ident.Instance(s.Member.Instance)]
	case p == nil || p.Member.Brief() != s.Member:
		return nil, false
	}
	if s.Member.Incarnation != p.Member.Incarnation || s.Seq <= p.LastSeq {
		return nil, news
	}
	p.LastSeq, p.Heard, p.Answered = s.Seq, now, true
	p.Load, p.Config, p.Offset, p.Quiet = s.Load, s.Config, s.Offset, s.Quiet
	p.Every = time.Duration(s.EveryMS) * time.Millisecond
	news = news || p.Stopping != s.Stop
	p.Stopping = s.Stop
	return p, news
}

// Remove forgets a daemon.
func (d *Directory) Remove(name ident.Instance) {
	delete(d.peers, name)
	d.sorted = nil
}

// Peer returns one daemon, or nil.
func (d *Directory) Peer(name ident.Instance) *Peer { return d.peers[name] }

// Peers returns all daemons in the order of their names. The caller must not
// change the list, which stays as it is when daemons come and go.
func (d *Directory) Peers() []*Peer {
	if d.sorted == nil {
		d.sorted = make([]*Peer, 0, len(d.peers))
		for _, name := range slices.Sorted(maps.Keys(d.peers)) {
			d.sorted = append(d.sorted, d.peers[name])
		}
	}
	return d.sorted
}

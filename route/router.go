package route

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/rangeindex"
	"github.com/parsleystack/parsleystack/service"
)

// Router holds the current Table and builds its successors. All methods are safe
// for concurrent use.
type Router struct {
	current atomic.Pointer[Table]

	mu      sync.Mutex // held while a successor is built
	peers   map[peerKey]*Peer
	entries map[ident.Service][]Entry // for services with and without a spec
}

type peerKey struct {
	node ident.Node
	addr string
}

// NewRouter returns a router with an empty table.
func NewRouter() *Router {
	r := &Router{peers: make(map[peerKey]*Peer), entries: make(map[ident.Service][]Entry)}
	r.current.Store(&Table{services: make(map[ident.Service]*Service)})
	return r
}

// Table returns the current table.
func (r *Router) Table() *Table { return r.current.Load() }

// SetSpecs replaces the service specs with those of the configuration at the
// given offset. The owners of its services are kept. A configuration older than
// the current one is ignored.
func (r *Router) SetSpecs(offset platformlog.Offset, specs []service.Spec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset < r.current.Load().Offset {
		return
	}
	next := &Table{Offset: offset, services: make(map[ident.Service]*Service, len(specs))}
	for i := range specs {
		spec := specs[i]
		next.services[spec.Name] = r.build(&spec, offset, r.entries[spec.Name])
	}
	r.current.Store(next)
}

// MergeEntries merges entries into the table: where ranges overlap, the entry
// with the newest token is kept. Entries without an address are ignored. It
// reports whether the table changed.
func (r *Router) MergeEntries(svc ident.Service, entries ...Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, changed := merge(r.entries[svc], entries)
	if !changed {
		return false
	}
	r.entries[svc] = known
	r.replace(svc, known)
	return true
}

// RemoveOwner removes all entries of a service that are owned by node, which has
// failed or stopped.
func (r *Router) RemoveOwner(svc ident.Service, node ident.Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var kept []Entry
	for _, e := range r.entries[svc] {
		if e.Owner != node {
			kept = append(kept, e)
		}
	}
	r.entries[svc] = kept
	r.replace(svc, kept)
}

func merge(known, entries []Entry) ([]Entry, bool) {
	changed := false
	for _, e := range entries {
		if e.Addr == "" || redundant(known, e) {
			continue
		}
		known = overlay(known, e)
		changed = true
	}
	return known, changed
}

// redundant reports whether merging e would not change known. It may return
// false for such an entry if e spans several ranges.
func redundant(known []Entry, e Entry) bool {
	i := slices.IndexFunc(known, func(x Entry) bool { return x.Range.Contains(e.Range.First) })
	if i < 0 || known[i].Range.Last < e.Range.Last {
		return false
	}
	x := known[i]
	if e.Token.Less(x.Token) {
		return true
	}
	return x.Token == e.Token && x.Owner == e.Owner && x.Addr == e.Addr && x.Zone == e.Zone
}

// replace stores a table with new entries for one service.
func (r *Router) replace(svc ident.Service, entries []Entry) {
	old := r.current.Load()
	s := old.services[svc]
	if s == nil {
		return
	}
	next := &Table{Offset: old.Offset, services: maps.Clone(old.services)}
	next.services[svc] = r.build(s.Spec, s.Offset, entries)
	r.current.Store(next)
}

func (r *Router) build(spec *service.Spec, offset platformlog.Offset, entries []Entry) *Service {
	s := &Service{Spec: spec, Offset: offset, entries: entries, entryPeers: make([]*Peer, len(entries))}
	seen := make(map[*Peer]bool)
	ranges := make([]keyspace.Range, len(entries))
	for i, e := range entries {
		ranges[i] = e.Range
		p := r.peer(e)
		s.entryPeers[i] = p
		if !seen[p] {
			seen[p] = true
			s.peers = append(s.peers, p)
		}
	}
	s.index = rangeindex.New(ranges)
	return s
}

// peer returns the Peer of a daemon, which it creates on first use. r.mu must be
// held.
func (r *Router) peer(e Entry) *Peer {
	key := peerKey{node: e.Owner, addr: e.Addr}
	p := r.peers[key]
	if p == nil {
		p = &Peer{Node: e.Owner, Addr: e.Addr, Zone: e.Zone}
		p.unkeyedEntry = Entry{Owner: e.Owner, Addr: e.Addr, Zone: e.Zone}
		r.peers[key] = p
	}
	return p
}

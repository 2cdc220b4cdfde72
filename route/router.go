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

// Router holds the current Table and builds its successors. All methods may
// be called by any goroutine.
type Router struct {
	current atomic.Pointer[Table]

	mu    sync.Mutex // held while a successor is built
	peers map[peerKey]*Peer
	known map[ident.Service][]Entry // entries of services with and without a spec
}

type peerKey struct {
	node ident.Node
	addr string
}

// NewRouter returns a router with an empty table.
func NewRouter() *Router {
	r := &Router{peers: make(map[peerKey]*Peer), known: make(map[ident.Service][]Entry)}
	r.current.Store(&Table{services: make(map[ident.Service]*Service)})
	return r
}

// Table returns the current table.
func (r *Router) Table() *Table { return r.current.Load() }

// SetSpecs puts the services of a configuration in force. Owners that are
// known of its services are kept. A configuration older than the current one
// is ignored.
func (r *Router) SetSpecs(offset platformlog.Offset, specs []service.Spec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset < r.current.Load().Offset {
		return
	}
	next := &Table{Offset: offset, services: make(map[ident.Service]*Service, len(specs))}
	for i := range specs {
		spec := specs[i]
		next.services[spec.Name] = r.build(&spec, offset, r.known[spec.Name])
	}
	r.current.Store(next)
}

// MergeEntries merges owners into the table: at each point the newest token wins. It
// reports whether anything changed.
func (r *Router) MergeEntries(svc ident.Service, entries ...Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, changed := merge(r.known[svc], entries)
	if !changed {
		return false
	}
	r.known[svc] = known
	r.replace(svc, known)
	return true
}

// RemoveOwner drops every owner known at a daemon that is gone.
func (r *Router) RemoveOwner(svc ident.Service, node ident.Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var kept []Entry
	for _, e := range r.known[svc] {
		if e.Owner != node {
			kept = append(kept, e)
		}
	}
	r.known[svc] = kept
	r.replace(svc, kept)
}

func merge(known, entries []Entry) ([]Entry, bool) {
	changed := false
	for _, e := range entries {
		if e.Addr == "" || covered(known, e) {
			continue
		}
		known = overlay(known, e)
		changed = true
	}
	return known, changed
}

// covered reports whether e says nothing new.
func covered(known []Entry, e Entry) bool {
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

// replace swaps in a table with new entries of one service.
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
	s := &Service{Spec: spec, Offset: offset, entries: entries, byEntry: make([]*Peer, len(entries))}
	seen := make(map[*Peer]bool)
	ranges := make([]keyspace.Range, len(entries))
	for i, e := range entries {
		ranges[i] = e.Range
		p := r.peer(e)
		s.byEntry[i] = p
		if !seen[p] {
			seen[p] = true
			s.peers = append(s.peers, p)
		}
	}
	s.index = rangeindex.New(ranges)
	return s
}

// peer returns the one Peer of a daemon.
func (r *Router) peer(e Entry) *Peer {
	key := peerKey{node: e.Owner, addr: e.Addr}
	p := r.peers[key]
	if p == nil {
		p = &Peer{Node: e.Owner, Addr: e.Addr, Zone: e.Zone}
		p.unkeyed = Entry{Owner: e.Owner, Addr: e.Addr, Zone: e.Zone}
		r.peers[key] = p
	}
	return p
}

package route

import (
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/service"
)

// Service is the routing of one service. It is immutable but for the load of
// its peers.
type Service struct {
	Spec   *service.Spec
	Offset platformlog.Offset // configuration that Spec comes from

	entries []Entry
	byEntry []*Peer // peer of the entry with the same index
	peers   []*Peer // each once
}

// Target is a routing decision.
type Target struct {
	Entry Entry
	Peer  *Peer
}

// Owner returns the owner of p. It does not allocate.
func (s *Service) Owner(p keyspace.Point) (Target, bool) {
	i := find(s.entries, p)
	if i < 0 {
		return Target{}, false
	}
	return Target{Entry: s.entries[i], Peer: s.byEntry[i]}, true
}

// Choose returns a daemon for a request that any of them may run: the less
// loaded of two random ones, of the given zone while it has room. The caller
// provides random bits. avoid, if not nil, is chosen only if there is no other.
func (s *Service) Choose(zone ident.Zone, random uint64, avoid *Peer) (Target, bool) {
	peer := s.choose(random, func(p *Peer) bool { return p != avoid && p.Zone == zone && p.hasRoom() })
	if peer == nil {
		peer = s.choose(random, func(p *Peer) bool { return p != avoid })
	}
	if peer == nil {
		peer = s.choose(random, func(*Peer) bool { return true })
	}
	if peer == nil {
		return Target{}, false
	}
	return Target{Entry: Entry{Owner: peer.Node, Addr: peer.Addr, Zone: peer.Zone}, Peer: peer}, true
}

// choose picks two of the peers that pass the filter and returns the less
// loaded one.
func (s *Service) choose(random uint64, filter func(*Peer) bool) *Peer {
	n := uint64(0)
	for _, p := range s.peers {
		if filter(p) {
			n++
		}
	}
	if n == 0 {
		return nil
	}
	first := s.nth(random%n, filter)
	if n == 1 {
		return first
	}
	step := 1 + (random>>32)%(n-1)
	second := s.nth((random%n+step)%n, filter)
	if second.load() < first.load() {
		return second
	}
	return first
}

func (s *Service) nth(index uint64, filter func(*Peer) bool) *Peer {
	for _, p := range s.peers {
		if !filter(p) {
			continue
		}
		if index == 0 {
			return p
		}
		index--
	}
	return nil
}

// Entries returns the ranges and their owners in order. The result must not
// be changed.
func (s *Service) Entries() []Entry { return s.entries }

// Peers returns the daemons of the service. The result must not be changed.
func (s *Service) Peers() []*Peer { return s.peers }

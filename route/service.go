package route

import (
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/rangeindex"
	"github.com/parsleystack/parsleystack/service"
)

// Service is the routing of one service. It is immutable but for the load of
// its peers.
type Service struct {
	Spec   *service.Spec
	Offset platformlog.Offset // configuration that Spec comes from

	entries []Entry
	index   rangeindex.Index
	byEntry []*Peer // peer of the entry with the same index
	peers   []*Peer // each once
}

// Destination is a routing decision.
type Destination struct {
	Entry *Entry
	Peer  *Peer
}

// Owner returns the owner of p. It does not allocate.
func (s *Service) Owner(p keyspace.Point) (Destination, bool) {
	i := s.index.Find(p)
	if i < 0 {
		return Destination{}, false
	}
	return Destination{Entry: &s.entries[i], Peer: s.byEntry[i]}, true
}

// Choose returns a daemon for a request that any of them may run: the less
// loaded of two random ones, of the given zone while it has room. The caller
// provides random bits. avoid, if not nil, is chosen only if there is no other.
func (s *Service) Choose(zone ident.Zone, random uint64, avoid *Peer, now clock.Time) (Destination, bool) {
	c := choice{peers: s.peers, zone: zone, avoid: avoid, now: now}
	for c.level = nearest; c.level <= anyPeer; c.level++ {
		if p := c.pick(random); p != nil {
			return Destination{Entry: &p.unkeyed, Peer: p}, true
		}
	}
	return Destination{}, false
}

// Entries returns the ranges and their owners in order. The result must not
// be changed.
func (s *Service) Entries() []Entry { return s.entries }

// Peers returns the daemons of the service. The result must not be changed.
func (s *Service) Peers() []*Peer { return s.peers }

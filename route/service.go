package route

import (
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/rangeindex"
	"github.com/parsleystack/parsleystack/service"
)

// Service is the routing table of one service. It is immutable except for the
// load of its peers.
type Service struct {
	Spec   *service.Spec
	Offset platformlog.Offset // offset of the configuration that contains Spec

	entries    []Entry
	index      rangeindex.Index
	entryPeers []*Peer // peer of the entry with the same index
	peers      []*Peer // without duplicates
}

// Destination is the daemon chosen for a request.
type Destination struct {
	Entry *Entry
	Peer  *Peer
}

// Owner returns the owner of p, or false if there is none. It does not allocate.
func (s *Service) Owner(p keyspace.Point) (Destination, bool) {
	i := s.index.Find(p)
	if i < 0 {
		return Destination{}, false
	}
	return Destination{Entry: &s.entries[i], Peer: s.entryPeers[i]}, true
}

// Choose returns a daemon for a request without a key: the less loaded of two
// random daemons, from the given zone as long as any there has spare capacity.
// The caller provides random bits. avoid, if not nil, is chosen only if there is
// no other daemon. Choose returns false if the service has no daemon.
func (s *Service) Choose(zone ident.Zone, random uint64, avoid *Peer, now clock.Time) (Destination, bool) {
	c := choice{peers: s.peers, zone: zone, avoid: avoid, now: now}
	for c.level = sameZone; c.level <= anyPeer; c.level++ {
		if p := c.pick(random); p != nil {
			return Destination{Entry: &p.unkeyedEntry, Peer: p}, true
		}
	}
	return Destination{}, false
}

// Entries returns the owners of all ranges, ordered by range. The result must
// not be modified.
func (s *Service) Entries() []Entry { return s.entries }

// Peers returns the daemons of the service. The result must not be modified.
func (s *Service) Peers() []*Peer { return s.peers }

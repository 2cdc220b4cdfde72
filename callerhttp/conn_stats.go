package callerhttp

import "net"

// ConnStats counts connections that were refused or closed for others.
type ConnStats struct {
	// Open is the number of connections that are open.
	Open int
	// Refused is the number of those that got 503 at once.
	Refused uint64
	// Closed is the number of those that were closed for others, by what they did.
	Closed [busy + 1]uint64
}

// ConnActivities are the names of what connections do, by the index in ConnStats.Closed.
func ConnActivities() []string { return activityNames[:displaced] }

// ConnStats returns the counts since the server was created.
func (s *Server) ConnStats() ConnStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Open = len(s.conns)
	return stats
}

// LargestCaller returns the caller that has the most connections, and their number. nameOf
// returns the name of the caller at an address.
func (s *Server) LargestCaller(nameOf func(net.Addr) string) (name string, conns int) {
	count := make(map[string]int)
	for _, c := range s.all() {
		caller := nameOf(c.nc.RemoteAddr())
		if count[caller]++; count[caller] > conns {
			name, conns = caller, count[caller]
		}
	}
	return name, conns
}

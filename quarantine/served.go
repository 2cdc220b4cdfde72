package quarantine

import "hash/maphash"

const (
	// frequentlyServed is the number of times that an incarnation of a target must have
	// served a content before requests of it are no suspects when it crashes.
	frequentlyServed = 8
	// maxContents bounds the contents of one generation that are counted.
	maxContents = 4096
	// maxCountedBody is the largest body, in bytes, of a request that is counted.
	maxCountedBody = 4 << 10
)

// Served counts how often the requests of each content were served, among the newest
// contents. It is not safe for concurrent use.
type Served struct {
	seed             maphash.Seed
	current, earlier map[uint64]uint8
}

// NewServed returns a counter of no requests.
func NewServed() *Served { return &Served{seed: maphash.MakeSeed(), current: make(map[uint64]uint8)} }

// Add counts a request that was served.
func (s *Served) Add(c *Content) {
	key, ok := s.key(c)
	if !ok {
		return
	}
	n, known := s.current[key]
	if !known {
		if len(s.current) >= maxContents {
			s.earlier, s.current = s.current, make(map[uint64]uint8)
		}
		n = s.earlier[key]
	}
	s.current[key] = min(n+1, frequentlyServed)
}

// Frequent reports whether requests of the content are served so often that a crash of the
// target is no evidence against them.
func (s *Served) Frequent(c *Content) bool {
	key, ok := s.key(c)
	return ok && max(s.current[key], s.earlier[key]) >= frequentlyServed
}

// key hashes a content with the seed of this process, so that a caller can't make a
// request that counts as another one.
func (s *Served) key(c *Content) (uint64, bool) {
	if len(c.Body) > maxCountedBody {
		return 0, false
	}
	var h maphash.Hash
	h.SetSeed(s.seed)
	for _, part := range [...][]byte{c.Method, c.Host, c.URI, c.Caller, c.Body} {
		_, _ = h.Write(part) // never fails
		_, _ = h.Write(separator)
	}
	return h.Sum64(), true
}

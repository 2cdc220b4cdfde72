package sidecar

import "sync"

// responseSizeWeight is the weight of the newest response in the mean of its route.
const responseSizeWeight = 0.1

// responseSizes estimates the size of responses from earlier ones of the same route, so that
// memory for a large one is taken before its request is sent. It is safe for concurrent use.
type responseSizes struct {
	mu   sync.Mutex
	mean map[string]float64 // bytes, by route
}

// observe records the size of a response in bytes.
func (s *responseSizes) observe(route string, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mean == nil {
		s.mean = make(map[string]float64)
	}
	mean, ok := s.mean[route]
	if !ok {
		mean = float64(bytes)
	}
	s.mean[route] = mean + responseSizeWeight*(float64(bytes)-mean)
}

// expected returns the expected size of a response in bytes, 0 if there was none.
func (s *responseSizes) expected(route string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.mean[route])
}

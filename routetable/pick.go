package routetable

import "errors"

// Errors of PickService.
var (
	// ErrKeyRequired means that all services of the route are divided by key and the
	// request has no key.
	ErrKeyRequired = errors.New("all services of the route are divided by key; send a key")
	// ErrNoService means that the table has none of the services that could serve the
	// request.
	ErrNoService = errors.New("the configuration has no service for the route")
)

// PickService selects the service for one request of a route by the weights of those
// clusters that can serve it: a service that is divided by key serves only requests with
// a key. draw is a uniformly distributed number in [0, 1). Its errors are ErrKeyRequired
// and ErrNoService.
func (t *Table) PickService(r *Route, hasKey bool, draw float64) (Service, error) {
	total, missing := 0.0, false
	for i := range r.Clusters {
		s, ok := t.Service(r.Clusters[i].Service)
		missing = missing || !ok
		if ok && s.serves(hasKey) {
			total += r.Clusters[i].Weight
		}
	}
	switch {
	case total == 0 && !missing && len(r.Clusters) > 0:
		return Service{}, ErrKeyRequired
	case total == 0:
		return Service{}, ErrNoService
	}
	var picked Service
	at := draw * total
	for i := range r.Clusters {
		s, ok := t.Service(r.Clusters[i].Service)
		if !ok || !s.serves(hasKey) {
			continue
		}
		picked = s
		if at -= r.Clusters[i].Weight; at < 0 {
			break
		}
	}
	return picked, nil
}

// serves reports whether the service can serve a request with or without a key.
func (s *Service) serves(hasKey bool) bool { return hasKey || !s.Keyed }

package servicefile

import "github.com/parsleystack/parsleystack/service"

// spec converts a validated file to a service.Spec.
func (f *File) spec() *service.Spec {
	s := &service.Spec{
		Name:       f.Service,
		Key:        f.Key.rule(),
		Ranges:     f.Ranges,
		Fenced:     f.Targets.CheckTokens,
		RetryRatio: f.RetryRatio,
		Slots:      f.Targets.Slots,
		Conns:      f.Targets.Conns,
		QueueLimit: f.QueueLimit,
		MaxMoves:   f.Balance.MaxMovesPerMinute,
		Weights: service.Weights{
			Imbalance:   f.Balance.Imbalance,
			Churn:       f.Balance.Churn,
			Unavailable: f.Balance.UnavailableTime,
		},
	}
	for i := range f.Requests {
		s.Methods = append(s.Methods, f.Requests[i].method())
	}
	return s
}

func (k *Key) rule() service.KeyRule {
	switch {
	case k == nil:
		return service.KeyRule{Source: service.KeyNone}
	case k.PathSegment != nil:
		return service.KeyRule{Source: service.KeyPathSegment, Segment: *k.PathSegment}
	case k.Query != "":
		return service.KeyRule{Source: service.KeyQuery, Name: k.Query}
	}
	return service.KeyRule{Source: service.KeyHeader, Name: k.Header}
}

func (r *Request) method() service.Method {
	return service.Method{
		HTTPMethod: r.Method,
		PathPrefix: r.Path,
		Idempotent: r.Idempotent,
		Priority:   uint8(r.Priority),
		Timeout:    r.Timeout,
	}
}

package ratelimit

import "github.com/parsleystack/parsleystack/clock"

// Stated is the limit that a target has stated last. The zero value is a target without a
// limit.
//
// Responses on parallel connections overtake each other. A limit is put into force or
// lowered by any response, and raised or withdrawn only by the response to a request that
// was sent after the limit in force was last confirmed: such a response is certainly newer.
type Stated struct {
	Limited bool
	// Rate is the limit in requests a second; valid if Limited.
	Rate float64

	confirmed clock.Time // when the newest response with the limit in force was received
}

// Observe applies a response that was received at the time received to a request that was
// sent no earlier than sent. It reports whether the limit in force has changed.
func (s *Stated) Observe(limited bool, rate float64, sent, received clock.Time) bool {
	old := *s
	isNewer := !sent.Before(s.confirmed)
	switch {
	case limited && (!s.Limited || rate <= s.Rate || isNewer):
		s.Limited, s.Rate, s.confirmed = true, rate, received
	case !limited && s.Limited && isNewer:
		*s = Stated{}
	}
	return s.Limited != old.Limited || s.Rate != old.Rate
}

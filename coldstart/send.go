package coldstart

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// maxUnconfirmed is the time after which a request that was sent without any later sign of
// the target is no longer counted. It keeps a target that never responds from getting no
// request at all.
const maxUnconfirmed = 10 * time.Second

// send is one request that was written to a connection.
type send struct {
	id      uint64
	written clock.Time
	// confirmed is when a later sign of the target was received, so that the request had
	// arrived by then; Never before that.
	confirmed clock.Time
}

// leaves returns when a send no longer counts, if its confirmation arrives now or has arrived.
func (s *send) leaves(now clock.Time) clock.Time {
	if s.confirmed == clock.Never {
		return now.Add(window)
	}
	return s.confirmed.Add(window)
}

// counts reports whether a send may have arrived within the last second, or still arrives.
func (s *send) counts(now clock.Time) bool {
	if s.confirmed == clock.Never {
		return now.Sub(s.written) <= maxUnconfirmed
	}
	return now.Before(s.leaves(now))
}

package fleet

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// renewInterval is the shortest time between two replacements of the connections to a
// daemon.
const renewInterval = 2 * time.Second

// RenewDue reports whether the connections to the daemon must be replaced: no status
// of it arrives, or its statuses show that it receives none. echoedAt is when the
// newest status that it echoes was sent, Never if that is not known; interval is the
// time between statuses to it.
func (p *Peer) RenewDue(suspected bool, echoedAt clock.Time, interval time.Duration, now clock.Time) bool {
	if p.RenewedAt != clock.Never && now.Sub(p.RenewedAt) < renewInterval {
		return false
	}
	unheard := echoedAt != clock.Never && p.LastSeen.Sub(echoedAt) > suspectTimeoutFor(interval)+interval
	return suspected && p.Responded || unheard
}

package fleet

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// Connections are replaced if either direction is silent, and not more often than once
// in renewInterval.
func TestRenewDue(t *testing.T) {
	const interval = 400 * time.Millisecond
	now := clock.Time(time.Hour)
	for name, c := range map[string]struct {
		peer      Peer
		suspected bool
		echoedAt  clock.Time
		want      bool
	}{
		"both directions work":   {Peer{LastSeen: now, Responded: true}, false, now.Add(-interval), false},
		"no status arrives":      {Peer{LastSeen: now.Add(-SuspectTimeout), Responded: true}, true, now.Add(-SuspectTimeout - interval), true},
		"it has not yet started": {Peer{LastSeen: now.Add(-SuspectTimeout)}, true, clock.Never, false},
		"it receives no status":  {Peer{LastSeen: now, Responded: true}, false, now.Add(-2 * SuspectTimeout), true},
		"nothing echoed yet":     {Peer{LastSeen: now, Responded: true}, false, clock.Never, false},
		"just renewed":           {Peer{LastSeen: now, Responded: true, RenewedAt: now.Add(-interval)}, true, clock.Never, false},
	} {
		if got := c.peer.RenewDue(c.suspected, c.echoedAt, interval, now); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

package coldstart

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// refuteTime is the time after a doubt from which on responses to earlier requests refute it.
// Those that a process has sent before it ended are read within this time.
const refuteTime = 100 * time.Millisecond

// doubt is a doubt whether the target is still the process that it was, because of its
// connections. Targets also refuse or close connections when they are full. A process that
// responds to a request from before the doubt has not ended.
type doubt struct {
	at     clock.Time // Never if there is no such doubt
	before State      // of the target, before the first of several doubts
}

// begin records evidence against the state s.
func (d *doubt) begin(e Evidence, s State, now clock.Time) {
	if e != ConnectionRefused && e != ConnectionReset && e != ConnectionClosed {
		*d = doubt{}
		return
	}
	if d.at == clock.Never || !s.Unknown {
		d.before = s
	}
	d.at = now
}

// refutedBy reports whether a response at the time now to a request that was written at a time
// shows that the target has not ended.
func (d *doubt) refutedBy(written, now clock.Time) bool {
	return d.at != clock.Never && !d.before.Unknown && written.Before(d.at) && now.Sub(d.at) >= refuteTime
}

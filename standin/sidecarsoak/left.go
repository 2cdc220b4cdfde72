package sidecarsoak

import (
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// cancellationBound is the time after the close of a caller's connection from which on its
// request may not reach a target any more.
const cancellationBound = 500 * time.Millisecond

// observeLeft records the requests of a caller that has just closed its connection.
func (j *judge) observeLeft(daemon int, ids []string, kind leaving, sent time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	for _, id := range ids {
		j.answers[id] = observation{daemon: daemon, id: id, unsafe: true, leaving: kind, left: now, sent: sent, ended: now}
		j.counts["callers that left"]++
	}
}

// checkLeft checks that no request reached a target long after its caller had left, nor one
// that was never complete.
func (j *judge) checkLeft(arrivals []platformtest.Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, a := range arrivals {
		o, known := j.answers[a.RequestID]
		if !known || o.left.IsZero() {
			continue
		}
		j.counts["arrivals of callers that left"]++
		late := a.At.Sub(o.left)
		switch {
		case o.leaving == leavesEarly:
			j.violateLocked("UNASKED", "%s from daemon %d reached %s and was never complete", a.RequestID, o.daemon, a.Target)
		case late > cancellationBound && o.leaving == leavesPipelined && j.passKnownRed:
			j.counts["known red: GONE with a further request"]++ // see KNOWN-RED.txt
		case late > cancellationBound:
			j.violateLocked("GONE", "%s from daemon %d, sent %s, reached %s %v after its caller had left (%s)", a.RequestID, o.daemon, o.sent.Format("05.000"), a.Target, late.Round(time.Millisecond), o.leaving)
		}
	}
}

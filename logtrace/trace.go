package logtrace

import (
	"slices"
	"time"
)

const (
	// before is how long before a request's first line other events may explain
	// it: a lost daemon's keys move within about five seconds.
	before = 5 * time.Second
	// maxContext bounds the events that are shown.
	maxContext = 30
	// firstRequestEvent is the first number of the events of single requests.
	firstRequestEvent = 7500
)

// Trace is what the logs tell of one request.
type Trace struct {
	Request []Line // about the request itself, by time
	// Context holds what the daemons on its way, or others about them, logged
	// shortly before and meanwhile, by time.
	Context []Line
}

// Find returns the trace of a request. It is empty if no line names the id.
func Find(lines []Line, id string) Trace {
	var t Trace
	for _, l := range lines {
		if l.text(requestField) == id {
			t.Request = append(t.Request, l)
		}
	}
	if len(t.Request) == 0 {
		return t
	}
	byTime(t.Request)
	names := t.involved()
	from, to := t.Request[0].At.Add(-before), t.Request[len(t.Request)-1].At
	for _, l := range lines {
		if l.Event < firstRequestEvent && !l.At.Before(from) && !l.At.After(to) && (names[l.Instance] || names[l.text("daemon")]) {
			t.Context = append(t.Context, l)
		}
	}
	byTime(t.Context)
	if n := len(t.Context) - maxContext; n > 0 {
		t.Context = t.Context[n:]
	}
	return t
}

// involved returns the daemons that the request's lines name.
func (t *Trace) involved() map[string]bool {
	names := make(map[string]bool)
	for i := range t.Request {
		names[t.Request[i].Instance] = true
		for _, field := range []string{"daemon", "owner"} {
			if name := t.Request[i].text(field); name != "" {
				names[name] = true
			}
		}
	}
	return names
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// explanations says, for the reason of a request's last line, where to look.
var explanations = map[string]string{
	"overloaded":        "the target had more work ahead than the request's objective allows; look at load and at retry_after, and at other targets of the service",
	"deadline-exceeded": "the request could not be done in the time it had; look for a slow target or a late arrival",
	"no-owner":          "no target was known to take the request; look below for daemons that fell silent and targets that left",
	"wrong-owner":       "the target of the key had not got it yet, or not any more; look below for tables of owners and heartbeats that renewed nothing",
	"lease-expired":     "the target refused the key; its hold had run out or it had not taken it yet",
	"connection-lost":   "the connection to the daemon or to the target ended before the whole answer; look below for stops, silence and failed targets",
	"target-shed":       "the target itself refused the request without running it",
	"draining":          "the daemon or the target was leaving",
	"not-ready":         "the daemon had no configuration yet",
	"retry-budget":      "a second target was needed, but second sends were used up",
	"canceled":          "the caller left",
	"unknown-service":   "no route or service of the configuration in force fits the request",
}

// Cause returns where to look for the cause of the request's end, by the reason
// that its last line states.
func (t *Trace) Cause() string {
	if len(t.Request) == 0 {
		return "no line names the request; it may be older than the logs, or its lines were dropped (event 7007)"
	}
	last := &t.Request[len(t.Request)-1]
	if text, ok := explanations[last.text("reason")]; ok {
		return text
	}
	return "the request was answered"
}

package logtrace

import (
	"slices"
	"time"
)

const (
	// contextWindow is the time before a request's first line in which other
	// events may explain it: the keys of a failed daemon move within about five
	// seconds.
	contextWindow = 5 * time.Second
	// maxContext is the maximum number of lines in Trace.Context.
	maxContext = 30
	// firstRequestEvent is the lowest event number of events about single
	// requests.
	firstRequestEvent = 7500
)

// Trace holds the log lines that concern one request.
type Trace struct {
	Request []Line // lines about the request itself, by time
	// Context holds other lines by or about the daemons in Request, from
	// contextWindow before the first to the last line of Request, by time.
	Context []Line
}

// Find returns the trace of the request with the id. It is empty if no line has
// that id.
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
	names := t.daemons()
	from, to := t.Request[0].At.Add(-contextWindow), t.Request[len(t.Request)-1].At
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

// daemons returns the daemons that wrote the request's lines or are named in
// them.
func (t *Trace) daemons() map[string]bool {
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

// explanations states, by the reason in a request's last line, what happened and
// where to look further.
var explanations = map[string]string{
	"overloaded":        "the target had more queued work than the request's objective allows; look at load and retry_after, and at other targets of the service",
	"rate-limited":      "the target has stated a limit of requests a second or is in cold start, and the request would have waited too long for it; look for events 7313 (target limit changed) and 7322 (target cold), and at other targets of the service",
	"quarantined":       "requests of this content were in progress when targets crashed: look for its fingerprint in events 7316 (target crashed), 7317 (request quarantined) and 7318 (request acquitted)",
	"target-crashed":    "the target crashed while it ran the request and perhaps others; event 7316 (target crashed) names them",
	"unusable-response": "the response of the target can't be used; look for events 7509 (unusable status) and 7510 (malformed response)",
	"crash-suspect":     "the request ran alone, since targets had crashed under it before, and the target crashed again; look for event 7316 (target crashed)",
	"deadline-exceeded": "the request could not be completed before its deadline; look for a slow target or a late arrival",
	"no-owner":          "no target was available for the request; look below for daemons without recent status and targets that left",
	"wrong-owner":       "the target did not hold the key yet, or no longer; look below for assignment tables and heartbeats that renewed nothing",
	"lease-expired":     "the target refused the key; its grant had expired or had not been applied yet",
	"connection-lost":   "the connection to the daemon or to the target closed before the response was complete; look below for stops, daemons without recent status and failed targets",
	"target-shed":       "the target itself refused the request without running it",
	"draining":          "the daemon or the target was leaving",
	"not-ready":         "the daemon had no configuration yet",
	"retry-budget":      "a retry at another target was needed, but the retry budget was used up",
	"canceled":          "the caller closed its connection before the response",
	"unknown-service":   "no route or service of the current configuration matches the request",
}

// Cause explains the outcome of the request by the reason in its last line, and
// states where to look further.
func (t *Trace) Cause() string {
	if len(t.Request) == 0 {
		return "no line has the request id; it may be older than the logs, or its lines were dropped (event 7007)"
	}
	last := &t.Request[len(t.Request)-1]
	if text, ok := explanations[last.text("reason")]; ok {
		return text
	}
	return "the request was answered"
}

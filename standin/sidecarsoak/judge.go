package sidecarsoak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

const (
	configApplyTime = 2 * time.Second
	stableWindow    = 3 * time.Second
	drainTime       = 2 * time.Second
	rollbackSlack   = 250 * time.Millisecond
	shownPerRule    = 5 // violations of a rule that are printed
)

// observation is one answered request.
type observation struct {
	daemon      int
	id          string
	path        string
	unsafe      bool
	route       int // number of an added route; 0 for a route of all versions
	sent, ended time.Time
	answer      platformtest.Answer
	left        time.Time // when the caller closed its connection without a response; zero if it did not
	leaving     leaving   // how it did
}

// judge checks the rules by what callers and targets see. It is safe for concurrent
// use.
type judge struct {
	history      *history
	passKnownRed bool // as Options.PassKnownRed

	mu         sync.Mutex
	disturbed  []time.Time         // by daemon, end of its last disturbance
	periods    [][]period          // by daemon, its disturbances
	proven     []proof             // by daemon, since its start
	resumed    map[int][]time.Time // by daemon, the ends of its restarts and pauses
	answers    map[string]observation
	counts     map[string]int // by outcome
	violations map[string][]string
}

// period is the time of a disturbance.
type period struct{ from, until time.Time }

// proof is a version that a daemon has shown to have in force.
type proof struct {
	version int
	at      time.Time
}

func newJudge(h *history, daemons int) *judge {
	return &judge{
		history: h, disturbed: make([]time.Time, daemons), periods: make([][]period, daemons), proven: make([]proof, daemons),
		resumed: make(map[int][]time.Time), answers: make(map[string]observation), counts: make(map[string]int), violations: make(map[string][]string),
	}
}

// disturb records a disturbance of a daemon that lasts until a time. restart is set if
// its process ends.
func (j *judge) disturb(daemon int, until time.Time, restart bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.periods[daemon] = append(j.periods[daemon], period{time.Now(), until})
	if until.After(j.disturbed[daemon]) {
		j.disturbed[daemon] = until
	}
	if restart {
		j.proven[daemon] = proof{}
	}
}

// disturbedBefore returns the end of the last disturbance of a daemon that began before a
// time.
func (j *judge) disturbedBefore(daemon int, t time.Time) time.Time {
	last := time.Time{}
	for _, p := range j.periods[daemon] {
		if p.from.Before(t) && p.until.After(last) {
			last = p.until
		}
	}
	return last
}

func (j *judge) violateLocked(rule, format string, args ...any) {
	j.violations[rule] = append(j.violations[rule], fmt.Sprintf(format, args...))
}

// observe checks the answer to a request. Runs at targets are checked by checkRuns.
func (j *judge) observe(o observation) {
	j.mu.Lock()
	defer j.mu.Unlock()
	kept := o
	kept.answer.Body = "" // checked below; those of downloads would fill the memory
	j.answers[o.id] = kept
	inTouch := o.sent.After(j.disturbed[o.daemon].Add(stableWindow)) && o.ended.After(j.disturbed[o.daemon])
	status := o.answer.Status
	calm := "disturbed"
	if inTouch {
		calm = "calm"
	}
	kind := "base"
	switch {
	case o.route > 0:
		kind = "added"
	case isDeadly(o.path):
		kind = "deadly"
	}
	j.counts[fmt.Sprintf("%s %s %d", calm, kind, status)]++
	if status == http.StatusOK && (o.answer.Body != platformtest.AnswerBody(o.path, o.id) || !o.answer.Signed) {
		j.violateLocked("MIXED", "%s at daemon %d: 200 with the body %.60q", o.id, o.daemon, o.answer.Body)
	}
	if o.route == 0 {
		if status >= 300 && status < 500 && !slices.Contains([]int{408, 421, 429}, status) {
			j.violateLocked("DENIED", "%s at daemon %d: %d", o.id, o.daemon, status)
		}
		return
	}
	if status == http.StatusOK || status == http.StatusNotFound {
		j.checkVersionLocked(&o, inTouch)
	}
}

// checkVersionLocked checks that an answer on an added route follows a version that
// may be in force.
func (j *judge) checkVersionLocked(o *observation, inTouch bool) {
	present := o.answer.Status == http.StatusOK
	p := &j.proven[o.daemon]
	floor := 0
	if inTouch {
		floor = j.history.floor(o.sent.Add(-configApplyTime))
	}
	if _, ok := j.history.explain(o.route, present, floor, o.ended); !ok {
		j.violateLocked("CONFIG", "%s at daemon %d, sent %s: %d for %s as only a version older than %d allows", o.id, o.daemon, o.sent.Format("05.000"), o.answer.Status, prefix(o.route), floor)
		return
	}
	if p.version > 0 && o.sent.After(p.at.Add(rollbackSlack)) {
		if _, ok := j.history.explain(o.route, present, p.version, o.ended); !ok {
			j.violateLocked("CONFIG", "%s at daemon %d, sent %s: %d for %s after version %d was in force", o.id, o.daemon, o.sent.Format("05.000"), o.answer.Status, prefix(o.route), p.version)
			return
		}
	}
	if shown, ok := j.history.explain(o.route, present, 0, o.ended); ok && shown > p.version && o.sent.After(j.disturbed[o.daemon]) {
		*p = proof{version: shown, at: o.ended}
	}
}

// checkRuns checks what the targets have run.
func (j *judge) checkRuns(runs []platformtest.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	byRequest := make(map[string]int)
	type grant struct{ key, token int64 }
	holders := make(map[grant]string)
	newest := make(map[int64]platformtest.Run)
	slices.SortFunc(runs, func(a, b platformtest.Run) int { return a.Began.Compare(b.Began) })
	for _, r := range runs {
		byRequest[r.RequestID]++
		o, known := j.answers[r.RequestID]
		switch {
		case !known:
			j.violateLocked("UNASKED", "%s ran at %s, but no caller has sent it", r.RequestID, r.Target)
		case o.unsafe && byRequest[r.RequestID] == 2:
			j.violateLocked("TWICE", "%s ran more than once", r.RequestID)
		case o.unsafe && (o.answer.Status == http.StatusServiceUnavailable || o.answer.Status == http.StatusTooManyRequests):
			j.violateLocked("REFUSED", "%s was answered with %d and ran at %s", r.RequestID, o.answer.Status, r.Target)
		}
		if r.Token == 0 {
			continue
		}
		g := grant{r.Key, r.Token}
		if holder, ok := holders[g]; ok && holder != r.Target {
			j.violateLocked("OWNER", "key %d token %d: %s and %s", r.Key, r.Token, holder, r.Target)
		}
		holders[g] = r.Target
		if last := newest[r.Key]; r.Token < last.Token {
			j.violateLocked("OWNER", "key %d: %s ran with token %d after %s with %d", r.Key, r.Target, r.Token, last.Target, last.Token)
		} else {
			newest[r.Key] = r
		}
	}
	j.counts["runs"] = len(runs)
}

// resume records that a daemon runs again after a restart or a pause.
func (j *judge) resume(daemon int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.resumed[daemon] = append(j.resumed[daemon], time.Now())
}

// checkStatements checks that the requests to targets followed what these stated about
// themselves.
func (j *judge) checkStatements(arrivals []platformtest.Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	observations := make([]platformtest.Observation, 0, len(j.answers))
	for _, o := range j.answers {
		observations = append(observations, platformtest.Observation{RequestID: o.id, Entry: o.daemon, Sent: o.sent, Ended: o.ended, Answer: o.answer})
		if (o.answer.Stated != platformtest.Statement{}) {
			j.counts["answers with statements"]++
		}
	}
	check := platformtest.StatementJudge{StableWindow: stableWindow, DrainTime: drainTime, Restarts: j.resumed}
	for _, v := range check.Check(arrivals, observations) {
		rule, _, _ := strings.Cut(v, ":")
		j.violateLocked(rule, "%s", v)
	}
}

// report returns the counts and the violations as text, and the number of violations.
func (j *judge) report() (text string, violations int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, name := range sortedKeys(j.counts) {
		text += fmt.Sprintf("%-24s %6d\n", name, j.counts[name])
	}
	for _, rule := range sortedKeys(j.violations) {
		all := j.violations[rule]
		violations += len(all)
		text += fmt.Sprintf("%s: %d\n", rule, len(all))
		for _, v := range all[:min(len(all), shownPerRule)] {
			text += "  " + v + "\n"
		}
	}
	return text, violations
}

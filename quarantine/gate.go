package quarantine

const (
	// maxTogether is the number of suspected requests that run at one target at a time.
	// With more, a crash tells less about each of them; with fewer, those that have done
	// nothing wait longer for their turn.
	maxTogether = 4
)

// Gate decides when the suspected requests to one target run. It is not safe for
// concurrent use.
type Gate struct {
	running map[Fingerprint]bool // true for the request on trial
	trials  int                  // requests on trial that wait
}

// NewGate returns a gate through which no request has passed.
func NewGate() *Gate {
	return &Gate{running: make(map[Fingerprint]bool)}
}

// AwaitTrial announces a request on trial that waits. Until EndAwait, no other suspected
// request is admitted, so that the target becomes free of them.
func (g *Gate) AwaitTrial() { g.trials++ }

// EndAwait ends the wait that AwaitTrial has announced.
func (g *Gate) EndAwait() { g.trials-- }

// Enter admits a request if it may be sent to the target now, which then has to Leave.
func (g *Gate) Enter(f Fingerprint, v Verdict) (admitted bool) {
	trial := v == OnTrial
	_, again := g.running[f]
	switch {
	case again, trial && len(g.running) > 0, !trial && (len(g.running) >= maxTogether || g.trials > 0 || g.trialRuns()):
		return false
	}
	g.running[f] = trial
	return true
}

// Leave ends the run of an admitted request.
func (g *Gate) Leave(f Fingerprint) { delete(g.running, f) }

func (g *Gate) trialRuns() bool {
	for _, trial := range g.running {
		if trial {
			return true
		}
	}
	return false
}

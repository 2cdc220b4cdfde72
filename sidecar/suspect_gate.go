package sidecar

import (
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/quarantine"
)

// suspectGate admits suspected requests to the local target. Its methods may be called from
// any goroutine.
type suspectGate struct {
	mu      sync.Mutex
	gate    *quarantine.Gate
	changed chan struct{} // closed when a request leaves or evidence changes
}

func newSuspectGate() *suspectGate {
	return &suspectGate{gate: quarantine.NewGate(), changed: make(chan struct{})}
}

// enter tries to admit a request. If it is not admitted, it may be when the channel is
// closed. awaitsTrial is whether the request is announced as one that waits for its trial.
func (g *suspectGate) enter(f quarantine.Fingerprint, v quarantine.Verdict, awaitsTrial *bool) (admitted bool, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if trial := v == quarantine.OnTrial; trial != *awaitsTrial {
		g.announceLocked(trial)
		*awaitsTrial = trial
	}
	return g.gate.Enter(f, v), g.changed
}

func (g *suspectGate) announceLocked(trial bool) {
	if trial {
		g.gate.AwaitTrial()
		return
	}
	g.gate.EndAwait()
}

// endAwait ends the wait of a request for its trial.
func (g *suspectGate) endAwait() {
	g.mu.Lock()
	g.gate.EndAwait()
	g.mu.Unlock()
	g.wake()
}

// leave ends the run of an admitted request after a time.
func (g *suspectGate) leave(f quarantine.Fingerprint, after time.Duration) {
	if after > 0 {
		time.AfterFunc(after, func() { g.leave(f, 0) })
		return
	}
	g.mu.Lock()
	g.gate.Leave(f)
	g.mu.Unlock()
	g.wake()
}

// wake lets the waiting requests try again.
func (g *suspectGate) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.changed)
	g.changed = make(chan struct{})
}

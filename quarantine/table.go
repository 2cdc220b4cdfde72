package quarantine

import (
	"slices"
	"time"
)

// trialPause is the time between a crash of a target and the next trial at another one.
// Targets are back after some seconds.
const trialPause = 3 * time.Second

const (
	// trialTurn is longer than most trials last.
	trialTurn  = 400 * time.Millisecond
	trialTurns = 4
)

// Table is an immutable copy of the evidence in ledgers, for look-ups.
type Table struct {
	heads     map[uint64]struct{}
	evidence  map[Fingerprint]Evidence
	lastCrash time.Time // of the own service; zero if none is known
}

// NewTable returns a table of all evidence in the ledgers of the own service and of others.
// A request may be moved to another service by the configuration, so evidence counts for
// all services together.
func NewTable(own *Ledger, others ...*Ledger) *Table {
	t := &Table{heads: make(map[uint64]struct{}), evidence: make(map[Fingerprint]Evidence)}
	for _, c := range own.crashes {
		if at := time.UnixMilli(c.At); at.After(t.lastCrash) {
			t.lastCrash = at
		}
	}
	for _, l := range append(others, own) {
		for f, e := range l.evidence() {
			sum := t.evidence[f]
			sum.Crashes, sum.Moments, sum.Alone = sum.Crashes+e.Crashes, sum.Moments+e.Moments, sum.Alone+e.Alone
			t.evidence[f] = sum
		}
		for f, c := range l.convictions {
			if !c.Released() {
				sum := t.evidence[f]
				sum.Convicted, sum.Crashes = true, max(sum.Crashes, c.Crashes)
				t.evidence[f] = sum
			}
		}
	}
	for f := range t.evidence {
		t.heads[f.Head] = struct{}{}
	}
	return t
}

// Empty reports whether there is no evidence against any request.
func (t *Table) Empty() bool { return len(t.heads) == 0 }

// Find returns the evidence against a request. The body of a request that nothing speaks
// against is not read.
func (t *Table) Find(c *Content) (Fingerprint, Evidence) {
	if _, ok := t.heads[c.Head()]; !ok {
		return Fingerprint{}, Evidence{}
	}
	f := c.Fingerprint()
	return f, t.evidence[f]
}

// TrialDelay returns the time until the trial of a request may begin. It puts a target at
// risk, which has to wait until those that have crashed are back. Requests of different
// contents have their turns one after the other, since a crash on trial delays the others.
func (t *Table) TrialDelay(f Fingerprint, now time.Time) time.Duration {
	pause := trialPause + time.Duration(f.Head%trialTurns)*trialTurn
	return min(max(t.lastCrash.Add(pause).Sub(now), 0), pause)
}

// Quarantined returns the quarantined requests in the order of their fingerprints.
func (t *Table) Quarantined() []Fingerprint {
	var list []Fingerprint
	for f, e := range t.evidence {
		if e.Verdict() == Quarantined {
			list = append(list, f)
		}
	}
	slices.SortFunc(list, Fingerprint.compare)
	return list
}

// Suspects returns the number of requests that are suspected or on trial.
func (t *Table) Suspects() int { return len(t.evidence) - len(t.Quarantined()) }

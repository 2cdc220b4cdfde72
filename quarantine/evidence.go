package quarantine

const (
	// minCrashes is the number of crashed targets after which a request is quarantined.
	minCrashes = 3
	// minCrashesAlone is the number of these at which it was alone. While targets crash of
	// another cause again and again, a slow request is alone at one crash by chance.
	minCrashesAlone = 2
	// manyMoments is the number of times of crashes, without any response, of which one alone
	// suffices: if targets crash of other causes at the same time, those alone do not count.
	manyMoments = 5
)

// Evidence is what speaks against a request.
type Evidence struct {
	Crashes   int  // crashes at which it was in progress, without those that it was acquitted of
	Moments   int  // different times of these crashes
	Alone     int  // times of these at which it was alone
	Convicted bool // it was quarantined before
}

// convicts reports whether the request is quarantined by the evidence. A number of crashes
// does not suffice: if the targets of a rack end together, a request of which copies run
// everywhere was in progress at each of them.
func (e Evidence) convicts() bool {
	return e.Convicted || e.Crashes >= minCrashes && e.Alone >= minCrashesAlone || e.Moments >= manyMoments && e.Alone > 0
}

// Verdict says how a request may be run.
type Verdict uint8

const (
	// Unsuspected means that the request runs as any other.
	Unsuspected Verdict = 0
	// Suspected means that few suspected requests run at a target at a time, and none
	// twice.
	Suspected Verdict = 1
	// OnTrial means that the request runs alone at its target.
	OnTrial Verdict = 2
	// Quarantined means that the request must not be run.
	Quarantined Verdict = 3
)

// Verdict returns how the request may be run.
func (e Evidence) Verdict() Verdict {
	switch {
	case e.convicts():
		return Quarantined
	case e.Crashes > 1 || e.Alone > 0:
		return OnTrial
	case e.Crashes == 1:
		return Suspected
	}
	return Unsuspected
}

// String returns the name of the verdict.
func (v Verdict) String() string {
	switch v {
	case Unsuspected:
		return "unsuspected"
	case Suspected:
		return "suspected"
	case OnTrial:
		return "on-trial"
	case Quarantined:
		return "quarantined"
	}
	return "invalid"
}

package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// evidenceTime is how long a crash is evidence against requests that were not
	// convicted. Most of them never come again.
	evidenceTime = 10 * time.Minute
	// convictionTime is how long a request stays quarantined. Within a week, an operator
	// has released a version of the service that survives it, or releases the request.
	convictionTime = 7 * 24 * time.Hour
	// maxCrashes and maxConvictions bound a ledger; the oldest entries are dropped first.
	maxCrashes     = 64
	maxConvictions = 512
	// MaxSuspects bounds the suspects of one crash. It is above the slots of any target.
	MaxSuspects = 256
)

// crashKey is the incarnation of a target that crashed.
type crashKey struct {
	target string
	start  int64
}

// Ledger holds the evidence about the requests to the targets of one service. It is not
// safe for concurrent use.
type Ledger struct {
	crashes     map[crashKey]*Crash
	convictions map[Fingerprint]*Conviction
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{crashes: make(map[crashKey]*Crash), convictions: make(map[Fingerprint]*Conviction)}
}

// Empty reports whether the ledger has no evidence.
func (l *Ledger) Empty() bool { return len(l.crashes)+len(l.convictions) == 0 }

// Add adds a crash and reports whether that changed the ledger. Later reports of the same
// crash add only the suspects that are missing and what was found out about them.
func (l *Ledger) Add(c Crash) bool {
	key := crashKey{c.Target, c.Start}
	known := l.crashes[key]
	if known == nil {
		merged := c
		merged.Suspects = nil
		for _, s := range c.Suspects {
			merged.AddSuspect(s)
		}
		l.crashes[key] = &merged
		return true
	}
	changed := false
	for _, s := range c.Suspects {
		i, found := slices.BinarySearchFunc(known.Suspects, s, compareSuspects)
		if !found {
			if len(known.Suspects) < MaxSuspects {
				known.Suspects = slices.Insert(known.Suspects, i, s)
				changed = true
			}
			continue
		}
		merged := &known.Suspects[i]
		changed = changed || s.Alone && !merged.Alone || s.Cleared && !merged.Cleared
		merged.Alone, merged.Cleared = merged.Alone || s.Alone, merged.Cleared || s.Cleared
	}
	return changed
}

// Merge adds the evidence of a record and reports whether that changed the ledger.
func (l *Ledger) Merge(r *Record) bool {
	changed := false
	for _, c := range r.Crashes {
		changed = l.Add(c) || changed
	}
	for _, c := range r.Convictions {
		changed = l.addConviction(c) || changed
	}
	return changed
}

func (l *Ledger) addConviction(c Conviction) bool {
	known := l.convictions[c.Print]
	if known == nil {
		l.convictions[c.Print] = &c
		return true
	}
	old := *known
	known.At, known.ReleasedAt, known.Crashes = max(known.At, c.At), max(known.ReleasedAt, c.ReleasedAt), max(known.Crashes, c.Crashes)
	return *known != old
}

// Clear acquits a request in all crashes and reports whether that changed the ledger.
func (l *Ledger) Clear(f Fingerprint) bool {
	changed := false
	for _, c := range l.crashes {
		if s := c.suspect(f); s != nil && !s.Cleared {
			s.Cleared, changed = true, true
		}
	}
	return changed
}

// Release ends the quarantine of a request and reports whether that changed the ledger.
func (l *Ledger) Release(f Fingerprint, now time.Time) bool {
	changed := l.Clear(f)
	if c := l.convictions[f]; c != nil && !c.Released() {
		c.ReleasedAt, changed = max(now.UnixMilli(), c.At), true
	}
	return changed
}

// Convict quarantines the requests that the evidence convicts and returns those that were
// not quarantined before.
func (l *Ledger) Convict(now time.Time) []Conviction {
	var convicted []Conviction
	for f, e := range l.evidence() {
		if known := l.convictions[f]; !e.convicts() || known != nil && !known.Released() {
			continue
		}
		c := Conviction{Print: f, At: now.UnixMilli(), Crashes: e.Crashes}
		l.addConviction(c)
		convicted = append(convicted, c)
	}
	slices.SortFunc(convicted, func(a, b Conviction) int { return a.Print.compare(b.Print) })
	return convicted
}

// Expire drops evidence that is too old, and the oldest if there is too much of it.
func (l *Ledger) Expire(now time.Time) {
	oldest := now.Add(-evidenceTime).UnixMilli()
	maps.DeleteFunc(l.crashes, func(_ crashKey, c *Crash) bool { return c.At < oldest })
	oldest = now.Add(-convictionTime).UnixMilli()
	maps.DeleteFunc(l.convictions, func(_ Fingerprint, c *Conviction) bool { return c.At < oldest })
	for _, c := range excess(slices.Collect(maps.Values(l.crashes)), maxCrashes, compareCrashes) {
		delete(l.crashes, crashKey{c.Target, c.Start})
	}
	for _, c := range excess(slices.Collect(maps.Values(l.convictions)), maxConvictions, compareConvictions) {
		delete(l.convictions, c.Print)
	}
}

// excess returns the first elements of list by the order of compare that exceed a number.
func excess[T any](list []T, most int, compare func(a, b T) int) []T {
	if len(list) <= most {
		return nil
	}
	slices.SortFunc(list, compare)
	return list[:len(list)-most]
}

// Record returns the evidence in a canonical order.
func (l *Ledger) Record() *Record {
	r := new(Record)
	for _, c := range l.crashes {
		copied := *c
		copied.Suspects = slices.Clone(c.Suspects)
		r.Crashes = append(r.Crashes, copied)
	}
	for _, c := range l.convictions {
		r.Convictions = append(r.Convictions, *c)
	}
	slices.SortFunc(r.Crashes, func(a, b Crash) int { return compareCrashes(&a, &b) })
	slices.SortFunc(r.Convictions, func(a, b Conviction) int { return compareConvictions(&a, &b) })
	return r
}

// Lacks reports whether stored evidence lacks a crash, a suspect or a conviction of the
// ledger, or only what was found out in favor of requests.
func (l *Ledger) Lacks(stored *Ledger) (evidence, acquittals bool) {
	for key, c := range l.crashes {
		known := stored.crashes[key]
		if known == nil {
			return true, true
		}
		for i := range c.Suspects {
			s, k := &c.Suspects[i], known.suspect(c.Suspects[i].Print)
			if k == nil || s.Alone && !k.Alone {
				return true, true
			}
			acquittals = acquittals || s.Cleared && !k.Cleared
		}
	}
	for f, c := range l.convictions {
		known := stored.convictions[f]
		if known == nil || c.At > known.At || c.ReleasedAt > known.ReleasedAt {
			return true, true
		}
	}
	return false, acquittals
}

func (c *Crash) suspect(f Fingerprint) *Suspect {
	if i, found := slices.BinarySearchFunc(c.Suspects, Suspect{Print: f}, compareSuspects); found {
		return &c.Suspects[i]
	}
	return nil
}

func compareSuspects(a, b Suspect) int { return a.Print.compare(b.Print) }

func (f Fingerprint) compare(g Fingerprint) int {
	return cmp.Or(cmp.Compare(f.Head, g.Head), bytes.Compare(f.Sum[:], g.Sum[:]))
}

func compareCrashes(a, b *Crash) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Target, b.Target), cmp.Compare(a.Start, b.Start))
}

func compareConvictions(a, b *Conviction) int {
	return cmp.Or(cmp.Compare(a.At, b.At), a.Print.compare(b.Print))
}

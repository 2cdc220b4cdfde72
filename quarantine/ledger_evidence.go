package quarantine

import (
	"maps"
	"slices"
)

// commonCause is the longest time, in milliseconds, between two crashes of one cause that is
// none of the requests.
const commonCause = 100

// evidence returns the evidence against each suspected request. Of several crashes alone at
// one moment, as when a rack ends whose targets are nearly idle, one counts.
func (l *Ledger) evidence() map[Fingerprint]Evidence {
	all := make(map[Fingerprint]Evidence)
	last, lastAlone := make(map[Fingerprint]int64), make(map[Fingerprint]int64)
	for _, c := range slices.SortedFunc(maps.Values(l.crashes), compareCrashes) {
		for i := range c.Suspects {
			s := &c.Suspects[i]
			if s.Cleared {
				continue
			}
			e := all[s.Print]
			e.Crashes++
			if c.At-last[s.Print] > commonCause {
				e.Moments++
			}
			last[s.Print] = c.At
			if s.Alone && c.At-lastAlone[s.Print] > commonCause && !l.othersCrashed(c, s.Print) {
				e.Alone++
				lastAlone[s.Print] = c.At
			}
			all[s.Print] = e
		}
	}
	return all
}

// othersCrashed reports whether a target crashed at the same moment as c at which the request
// was not in progress, nor another one alone: the two have a cause of their own then.
func (l *Ledger) othersCrashed(c *Crash, f Fingerprint) bool {
	for _, other := range l.crashes {
		if d := other.At - c.At; -commonCause <= d && d <= commonCause && other.suspect(f) == nil && !other.anyAlone() {
			return true
		}
	}
	return false
}

func (c *Crash) anyAlone() bool {
	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return s.Alone })
}

package target

import (
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/keyspace"
)

// refusal is the value of Parsley-Refused; the empty one admits.
type refusal string

const (
	admitted   refusal = ""
	staleToken refusal = "stale-token"
	shedding   refusal = "shed"
	draining   refusal = "draining"
	cold       refusal = "cold"
)

// fence holds the newest token that is known of each range. A target serves one
// service, so orders and requests need not name it.
type fence struct {
	mu      sync.RWMutex
	entries []fenceEntry
}

type fenceEntry struct {
	rng     keyspace.Range
	token   cell.Token
	revoked bool
	ready   time.Time // end of the preparation
}

func newFence() *fence { return &fence{} }

// check decides on a request that carries a range and a token.
func (f *fence) check(rng keyspace.Range, token cell.Token, now time.Time) refusal {
	f.mu.RLock()
	e, newer := f.findLocked(rng, token)
	f.mu.RUnlock()
	switch {
	case newer:
		return staleToken
	case e.token != token || e.rng != rng:
		if !f.grant(rng, token, now) {
			return staleToken
		}
		return admitted
	case e.revoked:
		return staleToken
	case now.Before(e.ready):
		return cold
	}
	return admitted
}

// known reports whether any grant is known.
func (f *fence) known() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.entries) > 0
}

// findLocked returns the entry of exactly rng and token, or whether an
// overlapping entry is newer.
func (f *fence) findLocked(rng keyspace.Range, token cell.Token) (fenceEntry, bool) {
	var exact fenceEntry
	for _, e := range f.entries {
		if !e.rng.Overlaps(rng) {
			continue
		}
		if token.Less(e.token) {
			return fenceEntry{}, true
		}
		if e.rng == rng && e.token == token {
			exact = e
		}
	}
	return exact, false
}

// grant takes in a grant whose preparation ends at ready. It returns false if
// a newer one is known or if it was revoked.
func (f *fence) grant(rng keyspace.Range, token cell.Token, ready time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, newer := f.findLocked(rng, token)
	if newer {
		return false
	}
	if e.token == token && e.rng == rng {
		return !e.revoked
	}
	f.replaceLocked(fenceEntry{rng: rng, token: token, ready: ready})
	return true
}

// revoke refuses requests with token or an older one from now on.
func (f *fence) revoke(rng keyspace.Range, token cell.Token) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, newer := f.findLocked(rng, token); newer {
		return
	}
	f.replaceLocked(fenceEntry{rng: rng, token: token, revoked: true})
}

// replaceLocked drops the entries that e covers and adds e.
func (f *fence) replaceLocked(e fenceEntry) {
	kept := make([]fenceEntry, 0, len(f.entries)+1)
	for _, old := range f.entries {
		covered := e.rng.First <= old.rng.First && old.rng.Last <= e.rng.Last
		if !covered {
			kept = append(kept, old)
		}
	}
	f.entries = append(kept, e)
}

package target

import (
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/keyspace"
)

// refusal is the reason for which a request is rejected, sent as the header
// Parsley-Refused. It is empty for an admitted request.
type refusal string

const (
	admitted   refusal = ""
	staleToken refusal = "stale-token"
	shedding   refusal = "shed"
	draining   refusal = "draining"
	cold       refusal = "cold"
)

// fence holds the newest fencing token of each range that the target has
// received. A target serves one service, so its name is not part of the entries.
type fence struct {
	mu      sync.RWMutex
	entries []fenceEntry
}

type fenceEntry struct {
	rng     keyspace.Range
	token   cell.Token
	revoked bool
	ready   time.Time // end of the cold time after the grant
}

func newFence() *fence { return &fence{} }

// check admits or rejects a request that carries a range and a token. A token
// that is not recorded yet counts as a grant, unless an overlapping one is newer.
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

// hasGrants reports whether any grant or revocation was received.
func (f *fence) hasGrants() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.entries) > 0
}

// findLocked returns the entry with exactly rng and token, if there is one. It
// reports true if an overlapping entry has a newer token.
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

// grant records a grant whose requests are rejected as cold until ready. It
// returns false if a newer token is known or if the grant was revoked.
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

// revoke makes check reject requests with token or an older one.
func (f *fence) revoke(rng keyspace.Range, token cell.Token) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, newer := f.findLocked(rng, token); newer {
		return
	}
	f.replaceLocked(fenceEntry{rng: rng, token: token, revoked: true})
}

// replaceLocked adds e and removes the entries whose ranges lie within its
// range.
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

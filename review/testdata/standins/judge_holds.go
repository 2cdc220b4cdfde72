package main

import (
	"fmt"
	"sync"
	"time"
)

// maxCommonHold is how long two backends may hold the same keys by rule OWNER.
const maxCommonHold = 500 * time.Millisecond

const judgePoll = 10 * time.Millisecond

// keyHold is what a backend has been granted of one key.
type keyHold struct {
	fence int64
	until time.Time // it has released the key or its hold has run out
	ends  time.Time // when its hold runs out, whether released or not
	began time.Time // when it last began a request on the key
}

// holdJudge follows which backends hold which keys, as the backends see it, and judges rule
// OWNER.
type holdJudge struct {
	record *record

	mu       sync.Mutex
	backends []*shardedBackend
	holds    map[*shardedBackend]*[keyCount]keyHold
	common   [keyCount]time.Time // since when a key has two holders; zero if it has one
	long     map[int]time.Duration
	atWork   map[int]bool // keys given away while their holder was at work on them
	both     map[int]bool // keys on which two holders began requests
	fences   int          // keys taken with a fencing token that is not above all others
	maxFence [keyCount]int64
	holder   [keyCount]*shardedBackend // that took the key last
	stopped  chan struct{}
}

func newHoldJudge(r *record) *holdJudge {
	j := &holdJudge{
		record: r, holds: make(map[*shardedBackend]*[keyCount]keyHold),
		long: make(map[int]time.Duration), atWork: make(map[int]bool), both: make(map[int]bool), stopped: make(chan struct{}),
	}
	go j.watch()
	return j
}

// took records all that a backend holds from now on.
func (j *holdJudge) took(b *shardedBackend, rows []hold, until time.Time) {
	var next [keyCount]*hold
	for i := range rows {
		for k := rows[i].from; k <= rows[i].to; k++ {
			next[k] = &rows[i]
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	own := j.holds[b]
	if own == nil {
		own = new([keyCount]keyHold)
		j.holds[b] = own
		j.backends = append(j.backends, b)
	}
	given, givenAtWork := 0, 0
	for k := range next {
		if next[k] == nil {
			if now.Before(own[k].until) {
				own[k].until = now
			}
			continue
		}
		if !now.Before(own[k].until) { // it did not hold the key
			if next[k].fence <= j.maxFence[k] && j.holder[k] != nil && j.holder[k] != b {
				j.fences++
			}
			for _, other := range j.backends {
				h := &j.holds[other][k]
				if other == b || !now.Before(h.ends) {
					continue
				}
				if now.Before(h.until) {
					given++
				}
				if other.atWork(k) {
					givenAtWork++
					j.atWork[k] = true
				}
			}
		}
		j.maxFence[k], j.holder[k] = max(j.maxFence[k], next[k].fence), b
		own[k].fence, own[k].until, own[k].ends = next[k].fence, until, until
	}
	if given+givenAtWork > 0 {
		j.record.add("OWNER: backend %s takes %d keys that another backend holds, and %d on which another one is at work whose hold has not run out", b.id, given, givenAtWork)
	}
}

// began records that a backend begins a request on a key.
func (j *holdJudge) began(b *shardedBackend, key int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	own := j.holds[b]
	if own == nil {
		return
	}
	own[key].began = now
	since := j.common[key]
	for _, other := range j.backends {
		if h := &j.holds[other][key]; other != b && !since.IsZero() && now.Before(h.until) && h.began.After(since) {
			j.both[key] = true
			j.record.add("OWNER: backend %s begins a request on key %d, %d ms after backend %s, which holds it, too", b.id, key, now.Sub(h.began).Milliseconds(), other.id)
		}
	}
}

// watch follows for how long keys have two holders.
func (j *holdJudge) watch() {
	for {
		select {
		case <-j.stopped:
			return
		case <-time.After(judgePoll):
		}
		j.mu.Lock()
		now := time.Now()
		for k := range keyCount {
			holders := 0
			for _, b := range j.backends {
				if now.Before(j.holds[b][k].until) {
					holders++
				}
			}
			switch {
			case holders < 2:
				j.common[k] = time.Time{}
			case j.common[k].IsZero():
				j.common[k] = now
			case now.Sub(j.common[k]) > maxCommonHold:
				j.long[k] = max(j.long[k], now.Sub(j.common[k]))
			}
		}
		j.mu.Unlock()
	}
}

func (j *holdJudge) verdict() verdict {
	close(j.stopped)
	j.mu.Lock()
	defer j.mu.Unlock()
	longest := time.Duration(0)
	for _, d := range j.long {
		longest = max(longest, d)
	}
	return verdict{broken: len(j.long)+len(j.atWork)+len(j.both)+j.fences > 0, text: fmt.Sprintf(
		"OWNER: %d keys had two holders for over %v (at most %v); %d keys were given away while their holder was at work on them; on %d keys two holders began requests; %d keys came with a low fencing token",
		len(j.long), maxCommonHold, longest.Round(time.Millisecond), len(j.atWork), len(j.both), j.fences)}
}

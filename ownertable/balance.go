package ownertable

import (
	"cmp"
	"slices"
	"time"
)

const (
	// moveLoadAbove is the offered load, as a share of its slots, above which a
	// target transfers shards. Below it, requests seldom wait.
	moveLoadAbove = 0.9
	// minLoadGap is how much lower the load of the receiving target must be, so
	// that shards do not move back and forth.
	minLoadGap = 0.4
	// maxMovedShare and minMovedShare bound the share of its load that a target
	// transfers at once. Keys are not served for a few hundred milliseconds while
	// they move.
	maxMovedShare = 0.45
	minMovedShare = 0.06
	// loadMovePause is the pause between two moves of a target, after which the
	// effect of the first one is measured in its load.
	loadMovePause = 3500 * time.Millisecond
	// splitShare is the share of a target's load above which a single shard is split.
	splitShare = 0.1
	// maxShardsPerOwner is the number of shards of one owner above which adjacent
	// shards are merged. The reply to a heartbeat has space for about 130 shards with
	// the long tokens of a store that has eras.
	maxShardsPerOwner = 120
)

// KeyLoad returns the load of a key of the local target. The unit is arbitrary
// but must be the same for all keys.
type KeyLoad func(key uint32) float64

// moveLoad revokes shards of the local target in favour of the least loaded
// target if the local target is overloaded and the difference is large enough.
func (p *planner) moveLoad() {
	self := p.candidates[p.input.Self]
	if self == nil || p.input.KeyLoad == nil || self.Load < moveLoadAbove || !self.Ready {
		return
	}
	receiver := p.leastLoaded(self)
	if receiver == nil || self.Load-receiver.Load < minLoadGap {
		return
	}
	shards, total := p.shardLoads()
	if total <= 0 || p.shardCount(receiver.Owner) >= maxShardsPerOwner {
		return
	}
	relativeLatency := receiver.LatencyRatio / max(self.LatencyRatio, minLatencyRatio) // a slower target receives less load
	share := min((self.Load-receiver.Load)/(self.Load*(1+relativeLatency)), maxMovedShare)
	if share < minMovedShare {
		return
	}
	p.revokeLoad(shards, share*total, total, receiver.Owner)
}

// minLatencyRatio keeps quotients of latency ratios finite.
const minLatencyRatio = 0.01

// shardLoad is a shard of the local target and its load.
type shardLoad struct {
	index int
	load  float64
}

// shardLoads returns the shards of the local target, busiest first, and their
// total load. It returns nil and 0 while a shard of the local target is revoked
// or new in this table, so that moves do not overlap.
func (p *planner) shardLoads() ([]shardLoad, float64) {
	var shards []shardLoad
	total := 0.0
	for i := range p.shards {
		r := &p.shards[i]
		if r.Owner != p.input.Self {
			continue
		}
		if r.Revoked != NotRevoked || r.Token == p.token {
			return nil, 0
		}
		l := 0.0
		for key := r.From; key <= r.To; key++ {
			l += p.input.KeyLoad(key)
		}
		shards = append(shards, shardLoad{index: i, load: l})
		total += l
	}
	slices.SortFunc(shards, func(a, b shardLoad) int { return cmp.Compare(b.load, a.load) })
	return shards, total
}

func (p *planner) leastLoaded(self *Candidate) *Candidate {
	var best *Candidate
	for _, c := range p.ready {
		if c != self && (best == nil || c.Load < best.Load) {
			best = c
		}
	}
	return best
}

func (p *planner) shardCount(o Owner) int {
	n := 0
	for i := range p.shards {
		if p.shards[i].Owner == o || p.shards[i].NextOwner == o {
			n++
		}
	}
	return n
}

// revokeLoad revokes shards with approximately the wanted load. It prefers the
// busiest shards that fit, because fewer keys move then, and splits a shard that
// alone has more than the wanted load.
func (p *planner) revokeLoad(shards []shardLoad, wanted, total float64, to Owner) {
	split := -1
	var at uint32
	for _, r := range shards {
		shard := &p.shards[r.index]
		switch {
		case wanted < minMovedShare*total/2:
		case r.load <= wanted*1.1:
			wanted -= r.load
			p.revoke(shard, to, RevokedToMove, ReasonLoad)
		case split < 0 && r.load > splitShare*total && shard.Len() > 1:
			split, at = r.index, p.splitPoint(shard, wanted)
			wanted = 0
		}
	}
	if split >= 0 {
		p.splitAndRevoke(split, at, to)
	}
}

// splitPoint returns the last key of the first part of a shard that has
// approximately the wanted load.
func (p *planner) splitPoint(r *Shard, wanted float64) uint32 {
	sum := 0.0
	for key := r.From; key < r.To; key++ {
		if sum += p.input.KeyLoad(key); sum >= wanted {
			return key
		}
	}
	return r.To - 1
}

// splitAndRevoke splits a shard after a key and revokes the first part.
func (p *planner) splitAndRevoke(i int, at uint32, to Owner) {
	rest := p.shards[i]
	rest.From = at + 1
	p.shards[i].To = at
	p.shards = slices.Insert(p.shards, i+1, rest)
	p.revoke(&p.shards[i], to, RevokedToMove, ReasonLoad)
}

// mergeShards merges adjacent shards of owners that have too many. A merged shard
// gets the token of this table. The owner is the same, so it releases nothing.
func (p *planner) mergeShards() {
	counts := make(map[Owner]int)
	for i := range p.shards {
		counts[p.shards[i].Owner]++
	}
	merged := p.shards[:0]
	for _, r := range p.shards {
		if n := len(merged); n > 0 && counts[r.Owner] > maxShardsPerOwner && mergeable(&merged[n-1], &r) {
			last := &merged[n-1]
			last.To, last.Token, last.Handover = r.To, p.token, ""
			counts[r.Owner]--
			p.changes = append(p.changes, Change{Shard: *last, PreviousOwner: r.Owner, Reason: ReasonMerged})
			continue
		}
		merged = append(merged, r)
	}
	p.shards = merged
}

func mergeable(a, b *Shard) bool {
	return a.Owner == b.Owner && !a.Unassigned() && a.Revoked == NotRevoked && b.Revoked == NotRevoked
}

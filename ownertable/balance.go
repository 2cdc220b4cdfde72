package ownertable

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// moveLoadAbove is the offered load, as a share of its slots, above which a
	// target transfers shards. Below it, requests seldom wait.
	moveLoadAbove = 0.9
	// minLoadGap is how much lower the load of the receiving target must be, so
	// that shards do not move back and forth.
	minLoadGap = 0.4
	// maxMovedShare bounds the share of its load that a target transfers at once. Keys are
	// not served for a few hundred milliseconds while they move. What exceeds the slots is
	// refused anyway, so it may all move.
	maxMovedShare = 0.45
	// minMovedLoad is the least load, as a share of the slots, that is worth a move.
	minMovedLoad = 0.06
	// maxCountedExcess caps the load above moveLoadAbove of each target when the receivers are
	// divided among the overloaded targets: that of a single busy key cannot move.
	maxCountedExcess = 2.0
	// comfortableLoad is the load, as a share of the slots, up to which a receiver is filled at
	// least.
	comfortableLoad = 0.75
	// loadMovePause is the pause between two moves of a target, after which the
	// effect of the first one is measured in its load.
	loadMovePause = 3500 * time.Millisecond
	// severeLoad is the offered load from which the pause is severeLoadMovePause: busy keys
	// change within seconds, and most requests to the target are refused meanwhile.
	severeLoad          = 1.5
	severeLoadMovePause = 1800 * time.Millisecond
	// maxShardsPerOwner is the number of shards of one owner above which adjacent
	// shards are merged. The reply to a heartbeat has space for about 130 shards with
	// the long tokens of a store that has eras.
	maxShardsPerOwner = 120
)

// KeyLoad returns the load of a key of the local target. The unit is arbitrary
// but must be the same for all keys.
type KeyLoad func(key uint32) float64

// movePause returns the pause after a move of a target with an offered load.
func movePause(load float64) time.Duration {
	if load >= severeLoad {
		return severeLoadMovePause
	}
	return loadMovePause
}

// moveLoad revokes shards of the local target in favour of less loaded targets if the local
// target is overloaded and the difference is large enough. The load is distributed among as
// many receivers as it takes: of a range of busy keys no single one could serve it.
func (p *planner) moveLoad() {
	self := p.candidates[p.input.Self]
	if self == nil || p.input.KeyLoad == nil || self.Load < moveLoadAbove || !self.Ready {
		return
	}
	receivers := p.loadReceivers(self)
	if len(receivers) == 0 {
		return
	}
	shards, total := p.shardLoads()
	if total <= 0 {
		return
	}
	unit := total / self.Load // key load of a load of 1
	left := max(maxMovedShare*self.Load, self.Load-moveLoadAbove)
	for _, r := range receivers {
		wanted := min(r.room, left)
		if wanted < minMovedLoad || p.shardCount(r.owner) >= maxShardsPerOwner {
			continue
		}
		left -= p.revokeLoad(shards, wanted*unit, r.owner) / unit
	}
}

// loadReceiver is a target that may receive load, and how much, in the unit of the load of
// the local target.
type loadReceiver struct {
	owner Owner
	room  float64
}

// loadReceivers returns the targets that may receive load from the local one, those with the
// most room first. The room brings them to the level of the local target. The overloaded
// targets, which may all move load at this moment, divide the receivers among themselves.
func (p *planner) loadReceivers(self *Candidate) []loadReceiver {
	var overloaded, others []*Candidate
	for _, c := range p.ready {
		if c.Load > moveLoadAbove {
			overloaded = append(overloaded, c)
		}
		if c != self && self.Load-c.Load >= minLoadGap {
			others = append(others, c)
		}
	}
	level := max(commonLevel(self, others), comfortableLoad)
	var receivers []loadReceiver
	for _, c := range others {
		room := (level - c.Load) / relativeLatency(self, c)
		if room >= minMovedLoad && giver(c, overloaded) == self {
			receivers = append(receivers, loadReceiver{owner: c.Owner, room: room})
		}
	}
	slices.SortStableFunc(receivers, func(a, b loadReceiver) int { return cmp.Compare(b.room, a.room) })
	return receivers
}

// giver returns the overloaded target that may move load to a receiver. By weighted
// rendezvous hashing, each gets receivers in proportion to its excess load, and all daemons
// come to the same result without a message as far as they have the same loads.
func giver(receiver *Candidate, overloaded []*Candidate) *Candidate {
	var best *Candidate
	highest := math.Inf(-1)
	for _, c := range overloaded {
		hash := xxhash.Sum64String(string(c.Instance) + "/" + string(receiver.Instance))
		draw := (float64(hash>>hashShift) + 0.5) / (1 << (64 - hashShift)) // in (0, 1)
		if score := -min(c.Load-moveLoadAbove, maxCountedExcess) / math.Log(draw); score > highest {
			best, highest = c, score
		}
	}
	return best
}

// hashShift leaves the bits of a hash that a float64 represents exactly.
const hashShift = 12

// levelSteps is the number of bisections in commonLevel, enough for a hundredth of a slot.
const levelSteps = 16

// commonLevel returns the load at which what the local target gives away equals what the
// others take.
func commonLevel(self *Candidate, others []*Candidate) float64 {
	low, high := 0.0, self.Load
	for range levelSteps {
		level := (low + high) / 2
		taken := 0.0
		for _, c := range others {
			taken += max(level-c.Load, 0) / relativeLatency(self, c)
		}
		if taken > self.Load-level {
			high = level
		} else {
			low = level
		}
	}
	return low
}

// relativeLatency returns the load that a unit of the local target's load is at another one:
// a slower target receives less.
func relativeLatency(self, other *Candidate) float64 {
	ratio := max(other.LatencyRatio, minLatencyRatio) / max(self.LatencyRatio, minLatencyRatio)
	return min(max(ratio, 1/maxRelativeLatency), maxRelativeLatency)
}

// maxRelativeLatency bounds relativeLatency: the ratio of an idle or overloaded target says
// little.
const maxRelativeLatency = 4.0

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

func (p *planner) shardCount(o Owner) int {
	n := 0
	for i := range p.shards {
		if p.shards[i].Owner == o || p.shards[i].NextOwner == o {
			n++
		}
	}
	return n
}

// maxPieceFactor is the largest load of a piece relative to the wanted one.
const maxPieceFactor = 1.1

// revokeLoad revokes shards with approximately the wanted load in favour of a target, and
// returns their load. It prefers the busiest shards that fit, because fewer keys move then,
// and splits one that has more. It removes what it revokes from shards.
func (p *planner) revokeLoad(shards []shardLoad, wanted float64, to Owner) (moved float64) {
	least := wanted * minPieceShare
	for i := range shards {
		if left := wanted - moved; shards[i].load > 0 && shards[i].load <= left*maxPieceFactor && left >= least {
			p.revoke(&p.shards[shards[i].index], to, RevokedToMove, ReasonLoad)
			moved += shards[i].load
			shards[i].load = 0
		}
	}
	for i := range shards {
		if left := wanted - moved; left >= least && shards[i].load > left {
			moved += p.splitOff(shards, i, left, to)
		}
	}
	return moved
}

// minPieceShare is the least part of the wanted load for which a shard is revoked or split.
const minPieceShare = 0.2

// splitOff revokes a part of a shard with at most approximately the wanted load, at its start
// or its end, and returns the load. A key that is busier alone stays.
func (p *planner) splitOff(shards []shardLoad, i int, wanted float64, to Owner) float64 {
	r := p.shards[shards[i].index]
	if r.Len() < 2 {
		return 0
	}
	first, head := p.fittingKeys(r.From, r.To, 1, wanted)
	last, tail := p.fittingKeys(r.To, r.From, -1, wanted)
	if max(head, tail) < wanted*minPieceShare {
		return 0
	}
	part := Range{From: r.From, To: first}
	if tail > head {
		part = Range{From: last, To: r.To}
	}
	p.splitAndRevoke(shards, i, part, to)
	shards[i].load -= max(head, tail)
	return max(head, tail)
}

// fittingKeys returns the last key, in steps from a key towards another one, up to which the
// keys have at most approximately the wanted load, and their load. It leaves out the other
// key, so that a part of the shard stays.
func (p *planner) fittingKeys(from, end uint32, step int64, wanted float64) (last uint32, load float64) {
	last = from
	for key := int64(from); key != int64(end); key += step {
		next := load + p.input.KeyLoad(uint32(key))
		if next > wanted*maxPieceFactor {
			break
		}
		last, load = uint32(key), next
	}
	return last, load
}

// splitAndRevoke splits a shard so that a part at its start or end becomes one of its own, and
// revokes that part.
func (p *planner) splitAndRevoke(shards []shardLoad, i int, part Range, to Owner) {
	at := shards[i].index
	first, second := p.shards[at], p.shards[at]
	revoked := at
	if part.From == first.From {
		first.To, second.From = part.To, part.To+1
		shards[i].index = at + 1
	} else {
		first.To, second.From = part.From-1, part.From
		revoked = at + 1
	}
	p.shards[at] = first
	p.shards = slices.Insert(p.shards, at+1, second)
	for k := range shards {
		if k != i && shards[k].index > at {
			shards[k].index++
		}
	}
	p.revoke(&p.shards[revoked], to, RevokedToMove, ReasonLoad)
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

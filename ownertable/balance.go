package ownertable

import (
	"cmp"
	"slices"
	"time"
)

const (
	// shedAbove is the offered load, as a share of its slots, above which a
	// target gives rows away: short of that, requests seldom wait.
	shedAbove = 0.9
	// shedGap is how much less loaded the taker must be, so that rows do not
	// come back.
	shedGap = 0.4
	// maxShed and minShed bound the share of its load that a target gives away
	// at once. What moves is not served for some hundred milliseconds.
	maxShed = 0.45
	minShed = 0.06
	// shedPause is the time between two moves of a target; the load that they
	// leave must show first.
	shedPause = 3500 * time.Millisecond
	// splitAbove is the share of a target's load above which one row is split.
	splitAbove = 0.1
	// maxOwnerRows is the number of rows of one owner above which neighbours are
	// joined. The answer to a heartbeat holds about 180 rows.
	maxOwnerRows = 120
)

// KeyLoad tells how much load a key of the own target has, in any unit.
type KeyLoad func(key uint32) float64

// shed revokes rows of the own target in favour of the least loaded one, if
// the own one has far more load than it can run.
func (p *planner) shed() {
	self := p.known[p.w.Self]
	if self == nil || p.w.KeyLoad == nil || self.Load < shedAbove || !self.Ready {
		return
	}
	taker := p.leastLoaded(self)
	if taker == nil || self.Load-taker.Load < shedGap {
		return
	}
	mine, total := p.loads()
	if total <= 0 || p.ownerRows(taker.Owner) >= maxOwnerRows {
		return
	}
	speed := taker.Pace / max(self.Pace, minPace) // a slower taker takes less
	share := min((self.Load-taker.Load)/(self.Load*(1+speed)), maxShed)
	if share < minShed {
		return
	}
	p.give(mine, share*total, total, taker.Owner)
}

// minPace keeps ratios of paces finite.
const minPace = 0.01

// rowLoad is a row of the own target and its load.
type rowLoad struct {
	index int
	load  float64
}

// loads returns the own rows that nobody has revoked, the busiest first. It
// returns no load while rows are on their way.
func (p *planner) loads() ([]rowLoad, float64) {
	var rows []rowLoad
	total := 0.0
	for i := range p.rows {
		r := &p.rows[i]
		if r.Owner != p.w.Self {
			continue
		}
		if r.Revoked != NotRevoked || r.Token == p.token {
			return nil, 0
		}
		l := 0.0
		for key := r.From; key <= r.To; key++ {
			l += p.w.KeyLoad(key)
		}
		rows = append(rows, rowLoad{index: i, load: l})
		total += l
	}
	slices.SortFunc(rows, func(a, b rowLoad) int { return cmp.Compare(b.load, a.load) })
	return rows, total
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

func (p *planner) ownerRows(o Owner) int {
	n := 0
	for i := range p.rows {
		if p.rows[i].Owner == o || p.rows[i].Next == o {
			n++
		}
	}
	return n
}

// give revokes rows with about the wanted load: the busiest that fit, since
// fewer keys move then, and a part of one that alone has more.
func (p *planner) give(rows []rowLoad, wanted, total float64, to Owner) {
	split := -1
	var at uint32
	for _, r := range rows {
		row := &p.rows[r.index]
		switch {
		case wanted < minShed*total/2:
		case r.load <= wanted*1.1:
			wanted -= r.load
			p.revoke(row, to, RevokedToMove, ReasonLoad)
		case split < 0 && r.load > splitAbove*total && row.Len() > 1:
			split, at = r.index, p.cut(row, wanted)
			wanted = 0
		}
	}
	if split >= 0 {
		p.splitRow(split, at, to)
	}
}

// cut returns the last key of the part of a row that has about the wanted load.
func (p *planner) cut(r *Row, wanted float64) uint32 {
	sum := 0.0
	for key := r.From; key < r.To; key++ {
		if sum += p.w.KeyLoad(key); sum >= wanted {
			return key
		}
	}
	return r.To - 1
}

// splitRow splits a row after a key and revokes the first part.
func (p *planner) splitRow(i int, at uint32, to Owner) {
	rest := p.rows[i]
	rest.From = at + 1
	p.rows[i].To = at
	p.rows = slices.Insert(p.rows, i+1, rest)
	p.revoke(&p.rows[i], to, RevokedToMove, ReasonLoad)
}

// join merges neighbouring rows of owners that have very many. Their tokens are
// those of this table: the owner stays, so nothing is released.
func (p *planner) join() {
	counts := make(map[Owner]int)
	for i := range p.rows {
		counts[p.rows[i].Owner]++
	}
	joined := p.rows[:0]
	for _, r := range p.rows {
		if n := len(joined); n > 0 && counts[r.Owner] > maxOwnerRows && joinable(&joined[n-1], &r) {
			last := &joined[n-1]
			last.To, last.Token, last.Handover = r.To, p.token, ""
			counts[r.Owner]--
			p.changes = append(p.changes, Change{Row: *last, From: r.Owner, Reason: ReasonJoin})
			continue
		}
		joined = append(joined, r)
	}
	p.rows = joined
}

func joinable(a, b *Row) bool {
	return a.Owner == b.Owner && !a.Free() && a.Revoked == NotRevoked && b.Revoked == NotRevoked
}

package ownertable

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

const (
	// MaxRows bounds a table, so that a target's share of it fits in the answer
	// to a heartbeat (4 KiB, some 30 bytes a row) with room for a failed peer's.
	MaxRows = 240
	// rowsPerTarget is the number of rows that a target gets at first. Busy keys
	// are neighbours, so many short rows spread them.
	rowsPerTarget = 48
	// joinShare is the share of its fair part below which a target that has
	// joined takes rows of others.
	joinShare = 0.5
)

// Candidate is a target that may own rows.
type Candidate struct {
	Owner
	Slots int
	Load  float64 // work that arrives, as a share of what the slots can run
	Pace  float64 // time of its requests as a share of their objectives
	// Ready is false for a target that is leaving or has ended.
	Ready bool
	// Ended is set when the daemon beside it knows that the target holds
	// nothing any more.
	Ended bool
	// Silent is set while the daemon beside it does not answer.
	Silent bool
	// Heard is set if that daemon has answered since this one knows it.
	Heard bool
}

// World is what a plan is made from, besides the table.
type World struct {
	Now        clock.Time
	Candidates []Candidate
	// Freed holds the rows, by token and first key, that their owner's daemon
	// knows to be let go, with their handover.
	Freed map[RowID]string
	// RevokedAt is when this daemon read that a row is revoked.
	RevokedAt map[RowID]clock.Time
	// Wait is how long after that the row is free; see TakeoverWait.
	Wait time.Duration
	// Self is the own target, and KeyLoad the load of its keys; nil if the load
	// is not to move anything now.
	Self    Owner
	KeyLoad KeyLoad
	// Settled is set when no target has joined for a while, so that the first
	// table has all of them.
	Settled bool
}

// RowID names a row of one table: a split or a new owner changes it.
type RowID struct {
	From  uint32
	Token uint64
}

// ID returns the row's identity.
func (r *Row) ID() RowID { return RowID{From: r.From, Token: r.Token} }

// Change is one difference between a table and the next.
type Change struct {
	Row    Row // as in the next table
	From   Owner
	Reason Reason
}

// Reason says why a row changes.
type Reason string

// Reasons of changes.
const (
	ReasonFirst    Reason = "first-assignment"
	ReasonReleased Reason = "released"
	ReasonEnded    Reason = "target-ended"
	ReasonTakeover Reason = "lease-ran-out"
	ReasonSilent   Reason = "daemon-silent"
	ReasonLeaving  Reason = "target-leaving"
	ReasonJoined   Reason = "target-joined"
	ReasonReturned Reason = "daemon-returned"
	ReasonFree     Reason = "was-free"
	ReasonLoad     Reason = "load"
	ReasonJoin     Reason = "too-many-rows"
)

// planner builds the next table.
type planner struct {
	w       *World
	token   uint64
	known   map[Owner]*Candidate
	current map[ident.Instance]*Candidate // the newest life at each instance
	keys    map[Owner]int                 // keys that are or will be with each ready target
	ready   []*Candidate
	rows    []Row
	changes []Change
}

// Plan returns the table that should follow t, and what differs, or nil if t
// should stay. The table must be appended at the offset at.
func Plan(t *Table, at uint64, w *World) (*Table, []Change) {
	p := &planner{w: w, token: at + 1, known: make(map[Owner]*Candidate), current: make(map[ident.Instance]*Candidate), keys: make(map[Owner]int)}
	for i := range w.Candidates {
		c := &w.Candidates[i]
		p.known[c.Owner] = c
		if cur := p.current[c.Instance]; cur == nil || cur.Target.Born < c.Target.Born {
			p.current[c.Instance] = c
		}
		if c.Ready && !c.Silent {
			p.ready = append(p.ready, c)
			p.keys[c.Owner] = 0
		}
	}
	slices.SortFunc(p.ready, func(a, b *Candidate) int { return cmp.Compare(a.Instance, b.Instance) })
	if len(p.ready) == 0 {
		return nil, nil
	}
	p.rows = slices.Clone(t.Rows)
	if untouched(t) {
		if !w.Settled {
			return nil, nil
		}
		p.first()
	}
	p.count()
	for i := range p.rows {
		p.step(&p.rows[i])
	}
	p.fillJoined()
	p.shed()
	p.join()
	if len(p.changes) == 0 {
		return nil, nil
	}
	return &Table{Rows: p.rows}, p.changes
}

func untouched(t *Table) bool { return len(t.Rows) == 1 && t.Rows[0].Free() && t.Rows[0].Token == 0 }

// first splits the keys into short rows that are dealt in turn.
func (p *planner) first() {
	n := min(rowsPerTarget*len(p.ready), MaxRows)
	p.rows = make([]Row, n)
	for i := range p.rows {
		p.rows[i].From = uint32(i * (MaxKey + 1) / n)
		p.rows[i].To = uint32((i+1)*(MaxKey+1)/n - 1)
		p.assign(&p.rows[i], p.ready[i%len(p.ready)].Owner, "", ReasonFirst)
	}
}

// count sums the keys that each ready target has or is to get.
func (p *planner) count() {
	for i := range p.rows {
		r := &p.rows[i]
		o := r.Owner
		if r.Revoked != NotRevoked && !p.returned(r) {
			o = r.Next
		}
		if _, ok := p.keys[o]; ok {
			p.keys[o] += r.Len()
		}
	}
}

// step moves one row on by at most one state.
func (p *planner) step(r *Row) {
	switch handover, freed := p.w.Freed[r.ID()]; {
	case r.Free():
		p.assign(r, p.successor(r), r.Handover, ReasonFree)
	case freed:
		p.assign(r, p.successor(r), handover, ReasonReleased)
	case p.ended(r):
		p.assign(r, p.successor(r), "", ReasonEnded)
	case r.Revoked != NotRevoked:
		p.stepRevoked(r)
	default:
		if reason, ok := p.lost(r); ok {
			p.revokeLost(r, reason)
		}
	}
}

func (p *planner) stepRevoked(r *Row) {
	if p.returned(r) {
		p.assign(r, r.Owner, "", ReasonReturned)
		return
	}
	if since, ok := p.w.RevokedAt[r.ID()]; ok && p.w.Now.Sub(since) >= p.w.Wait {
		p.assign(r, p.successor(r), "", ReasonTakeover)
	}
}

// returned reports whether a daemon whose silence has cost it a row answers
// again. One that was never heard here is not taken for returned.
func (p *planner) returned(r *Row) bool {
	c := p.known[r.Owner]
	return r.Revoked == RevokedSilent && c != nil && c.Ready && !c.Silent && c.Heard
}

// ended reports whether the owner of a row holds nothing any more: the daemon
// beside it says so, or names a later life of a target at the same instance.
func (p *planner) ended(r *Row) bool {
	if c := p.known[r.Owner]; c != nil {
		return c.Ended
	}
	later, ok := p.current[r.Owner.Instance]
	return ok && later.Target.Born > r.Owner.Target.Born
}

// lost reports whether the owner of a row can't go on, and why.
func (p *planner) lost(r *Row) (Reason, bool) {
	c := p.known[r.Owner]
	switch {
	case c == nil || c.Silent:
		return ReasonSilent, true
	case !c.Ready:
		return ReasonLeaving, true
	}
	return "", false
}

func (p *planner) revokeLost(r *Row, reason Reason) {
	next := p.least()
	p.keys[next] += r.Len()
	how := RevokedToMove
	if reason == ReasonSilent {
		how = RevokedSilent
	}
	p.revoke(r, next, how, reason)
}

func (p *planner) assign(r *Row, to Owner, handover string, reason Reason) {
	from := r.Owner
	r.Owner, r.Next, r.Revoked, r.Token, r.Handover = to, Owner{}, NotRevoked, p.token, handover
	p.changes = append(p.changes, Change{Row: *r, From: from, Reason: reason})
}

func (p *planner) revoke(r *Row, next Owner, how Revocation, reason Reason) {
	r.Revoked, r.Next = how, next
	p.changes = append(p.changes, Change{Row: *r, From: r.Owner, Reason: reason})
}

// successor returns the owner of a row that is free: the one it was meant for,
// a later life of the target at the same instance, or the one with the fewest
// keys. The keys of a row that is revoked are counted already.
func (p *planner) successor(r *Row) Owner {
	if _, ok := p.keys[r.Next]; ok && r.Revoked != NotRevoked {
		return r.Next
	}
	o := p.least()
	if same, ok := p.current[r.Owner.Instance]; ok {
		if _, ready := p.keys[same.Owner]; ready {
			o = same.Owner
		}
	}
	p.keys[o] += r.Len()
	return o
}

// least returns the ready target with the fewest keys for its slots.
func (p *planner) least() Owner {
	best := p.ready[0]
	for _, c := range p.ready[1:] {
		if p.load(c) < p.load(best) {
			best = c
		}
	}
	return best.Owner
}

func (p *planner) load(c *Candidate) float64 {
	return float64(p.keys[c.Owner]) / float64(max(c.Slots, 1))
}

// fillJoined moves rows to targets that have far less than their part.
func (p *planner) fillJoined() {
	slots := 0
	for _, c := range p.ready {
		slots += max(c.Slots, 1)
	}
	for _, c := range p.ready {
		fair := float64(MaxKey+1) * float64(max(c.Slots, 1)) / float64(slots)
		if float64(p.keys[c.Owner]) >= joinShare*fair {
			continue
		}
		p.fill(c, fair)
	}
}

// fill revokes rows of the targets with the most keys until c has its part.
func (p *planner) fill(c *Candidate, fair float64) {
	order := slices.Collect(maps.Keys(p.keys))
	for float64(p.keys[c.Owner]) < fair {
		slices.SortFunc(order, func(a, b Owner) int {
			return cmp.Or(cmp.Compare(p.keys[b], p.keys[a]), cmp.Compare(a.Instance, b.Instance))
		})
		r := p.rowOf(order[0])
		if r == nil || order[0] == c.Owner || float64(p.keys[c.Owner]+r.Len()) > fair*1.1 {
			return
		}
		p.keys[order[0]] -= r.Len()
		p.keys[c.Owner] += r.Len()
		p.revoke(r, c.Owner, RevokedToMove, ReasonJoined)
	}
}

// rowOf returns a row that the owner holds undisturbed, or nil. Rows far apart
// are taken, so that what a target gives away is a cross-section of its keys.
func (p *planner) rowOf(o Owner) *Row {
	taken := 0
	for i := range p.rows {
		if p.rows[i].Revoked != NotRevoked {
			taken++
		}
	}
	start := taken * 7919 % len(p.rows)
	for i := range p.rows {
		r := &p.rows[(start+i)%len(p.rows)]
		if r.Owner == o && r.Revoked == NotRevoked && r.Token != p.token {
			return r
		}
	}
	return nil
}

// Owners returns the instances that own rows.
func (t *Table) Owners() []ident.Instance {
	seen := make(map[ident.Instance]bool)
	for i := range t.Rows {
		if o := t.Rows[i].Owner; !o.IsZero() {
			seen[o.Instance] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

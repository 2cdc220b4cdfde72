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
	// smallTableShards is the number of shards in the table of a small service. The
	// shards of a target then fit in the reply to a heartbeat (4 KiB, about 30 bytes
	// per shard) together with those of a failed peer; see maxShardsPerOwner for those
	// of many failed ones.
	smallTableShards = 240
	// shardsPerTarget is the initial number of shards per target of a small service.
	// Busy keys are adjacent, so many short shards distribute them.
	shardsPerTarget = 48
	// minShardsPerTarget is the initial number of shards per target of a large service:
	// the keys of a failed target go to as many others, and a busy shard has neighbours
	// that can leave. Each shard takes about 5 bytes of a table, which is sent to every
	// daemon.
	minShardsPerTarget = 6
	// rebalanceThreshold is the share of its fair share of keys below which a target
	// that has joined receives shards of others.
	rebalanceThreshold = 0.5
)

// Candidate is a target that may own shards.
type Candidate struct {
	Owner
	Slots        int
	Load         float64 // offered load as a share of what the slots can run
	LatencyRatio float64 // mean response time as a share of the requests' objectives
	// Ready is false for a target that is draining or sends no heartbeats.
	Ready bool
	// Unreachable is set while a target refuses connections. It keeps its keys and
	// receives no others.
	Unreachable bool
	// Suspected is set while the target's daemon does not respond.
	Suspected bool
	// Responded is set if the target's daemon has responded at least once since
	// this daemon started to track it.
	Responded bool
}

// PlanInput is the input of Plan besides the current table.
type PlanInput struct {
	Now        clock.Time
	Candidates []Candidate
	// Released holds the handovers of the shards that the local target has
	// released, by token and first key.
	Released map[ShardID]string
	// RevokedAt is when this daemon read the revocation of a shard.
	RevokedAt map[ShardID]clock.Time
	// TakeoverWait is how long after that the shard can be reassigned; see the
	// function TakeoverWait.
	TakeoverWait time.Duration
	// Self is the local target. KeyLoad is the load of its keys; if it is nil,
	// no shards are moved because of load.
	Self    Owner
	KeyLoad KeyLoad
	// MembershipStable is set if no daemon or target has changed recently. The
	// initial table is made only then, so that it contains all targets.
	MembershipStable bool
}

// ShardID identifies a shard across tables. It changes when the shard gets a new
// owner or is merged. When a shard is split, only the first part keeps it.
type ShardID struct {
	From  uint32
	Token uint64
}

// ID returns the identity of the shard.
func (r *Shard) ID() ShardID { return ShardID{From: r.From, Token: r.Token} }

// Change is a difference between a table and the next one.
type Change struct {
	Shard         Shard // as in the next table
	PreviousOwner Owner
	Reason        Reason
}

// Reason says why a shard changes.
type Reason string

// Reasons for changes.
const (
	ReasonFirst      Reason = "first-assignment"
	ReasonReleased   Reason = "released"
	ReasonReplaced   Reason = "target-replaced"
	ReasonTakeover   Reason = "lease-ran-out"
	ReasonSuspected  Reason = "daemon-silent"
	ReasonLeaving    Reason = "target-leaving"
	ReasonJoined     Reason = "target-joined"
	ReasonReturned   Reason = "daemon-returned"
	ReasonUnassigned Reason = "was-free"
	ReasonLoad       Reason = "load"
	ReasonMerged     Reason = "too-many-rows"
	ReasonRecovered  Reason = "store-went-back"
)

// planner builds the next table.
type planner struct {
	input      *PlanInput
	token      uint64
	candidates map[Owner]*Candidate
	newest     map[ident.Instance]*Candidate // newest incarnation at each instance
	keyCounts  map[Owner]int                 // keys that each ready target owns or is due to receive
	ready      []*Candidate
	shards     []Shard
	changes    []Change
}

func newPlanner(at uint64, input *PlanInput) *planner {
	p := &planner{input: input, token: at + 1, candidates: make(map[Owner]*Candidate), newest: make(map[ident.Instance]*Candidate), keyCounts: make(map[Owner]int)}
	for i := range input.Candidates {
		c := &input.Candidates[i]
		p.candidates[c.Owner] = c
		if cur := p.newest[c.Instance]; cur == nil || cur.Target.StartTime < c.Target.StartTime {
			p.newest[c.Instance] = c
		}
		if c.Ready && !c.Suspected && !c.Unreachable {
			p.ready = append(p.ready, c)
			p.keyCounts[c.Owner] = 0
		}
	}
	slices.SortFunc(p.ready, func(a, b *Candidate) int { return cmp.Compare(a.Instance, b.Instance) })
	return p
}

// Plan returns the table that should replace t and its differences from t, or
// nil if no change is needed. The table must be appended at the offset at,
// because its fencing tokens are derived from it.
func Plan(t *Table, at uint64, input *PlanInput) (*Table, []Change) {
	p := newPlanner(at, input)
	if len(p.ready) == 0 {
		return nil, nil
	}
	p.shards = slices.Clone(t.Shards)
	if isInitial(t) {
		if !input.MembershipStable {
			return nil, nil
		}
		p.assignInitially()
	}
	p.countKeys()
	for i := range p.shards {
		p.advance(&p.shards[i])
	}
	p.rebalanceToJoined()
	p.moveLoad()
	p.mergeShards()
	if len(p.changes) == 0 {
		return nil, nil
	}
	return &Table{Shards: p.shards}, p.changes
}

func isInitial(t *Table) bool {
	return len(t.Shards) == 1 && t.Shards[0].Unassigned() && t.Shards[0].Token == 0
}

// assignInitially splits the keys into short shards and assigns them to the ready
// targets in round-robin order.
func (p *planner) assignInitially() {
	p.shards = p.initialShards()
	for i := range p.shards {
		p.assign(&p.shards[i], p.ready[i%len(p.ready)].Owner, "", ReasonFirst)
	}
}

// MaxShards returns the largest number of shards in the first table of a service, or of
// an era of the store.
func MaxShards(targets int) int { return max(smallTableShards, minShardsPerTarget*targets) }

// initialShards returns short shards without owners that together contain all keys.
func (p *planner) initialShards() []Shard {
	n := min(shardsPerTarget*len(p.ready), MaxShards(len(p.ready)))
	shards := make([]Shard, n)
	for i := range shards {
		shards[i].From = uint32(i * (MaxKey + 1) / n)
		shards[i].To = uint32((i+1)*(MaxKey+1)/n - 1)
	}
	return shards
}

// countKeys counts the keys that each ready target owns or is due to receive.
func (p *planner) countKeys() {
	for i := range p.shards {
		r := &p.shards[i]
		o := r.Owner
		if r.Revoked != NotRevoked && !p.ownerReturned(r) {
			o = r.NextOwner
		}
		if _, ok := p.keyCounts[o]; ok {
			p.keyCounts[o] += r.Len()
		}
	}
}

// advance applies at most one state transition to a shard.
func (p *planner) advance(r *Shard) {
	switch handover, released := p.input.Released[r.ID()]; {
	case r.Unassigned():
		p.assign(r, p.successor(r), r.Handover, ReasonUnassigned)
	case released:
		p.assign(r, p.successor(r), handover, ReasonReleased)
	case r.Revoked != NotRevoked:
		p.advanceRevoked(r)
	default:
		if reason, ok := p.ownerLost(r); ok {
			p.revokeFromLost(r, reason)
		}
	}
}

func (p *planner) advanceRevoked(r *Shard) {
	if p.ownerReturned(r) {
		p.assign(r, r.Owner, "", ReasonReturned)
		return
	}
	if since, ok := p.input.RevokedAt[r.ID()]; ok && p.input.Now.Sub(since) >= p.input.TakeoverWait {
		p.assign(r, p.successor(r), "", ReasonTakeover)
	}
}

// ownerReturned reports whether the daemon of an owner whose shard was revoked
// because the daemon was suspected responds again. A daemon that has never
// responded to this one does not count as returned.
func (p *planner) ownerReturned(r *Shard) bool {
	c := p.candidates[r.Owner]
	return r.Revoked == RevokedSuspected && c != nil && c.Ready && !c.Suspected && c.Responded
}

// ownerLost reports whether the owner of a shard must be replaced, and why.
func (p *planner) ownerLost(r *Shard) (Reason, bool) {
	c := p.candidates[r.Owner]
	switch {
	case c == nil && p.newest[r.Owner.Instance] != nil:
		return ReasonReplaced, true
	case c == nil || c.Suspected:
		return ReasonSuspected, true
	case !c.Ready:
		return ReasonLeaving, true
	}
	return "", false
}

func (p *planner) revokeFromLost(r *Shard, reason Reason) {
	next := p.successor(r)
	how := RevokedToMove
	if reason == ReasonSuspected {
		how = RevokedSuspected
	}
	p.revoke(r, next, how, reason)
}

func (p *planner) assign(r *Shard, to Owner, handover string, reason Reason) {
	from := r.Owner
	r.Owner, r.NextOwner, r.Revoked, r.Token, r.Handover = to, Owner{}, NotRevoked, p.token, handover
	p.changes = append(p.changes, Change{Shard: *r, PreviousOwner: from, Reason: reason})
}

func (p *planner) revoke(r *Shard, next Owner, how Revocation, reason Reason) {
	r.Revoked, r.NextOwner = how, next
	p.changes = append(p.changes, Change{Shard: *r, PreviousOwner: r.Owner, Reason: reason})
}

// successor returns the next owner of a shard: its planned owner, or else another
// target at the same instance, or else the target with the fewest keys per slot.
// countKeys has already counted a revoked shard for its planned owner.
func (p *planner) successor(r *Shard) Owner {
	if _, ok := p.keyCounts[r.NextOwner]; ok && r.Revoked != NotRevoked {
		return r.NextOwner
	}
	o := p.fewestKeys()
	if same, ok := p.newest[r.Owner.Instance]; ok {
		if _, ready := p.keyCounts[same.Owner]; ready {
			o = same.Owner
		}
	}
	p.keyCounts[o] += r.Len()
	return o
}

// fewestKeys returns the ready target with the fewest keys per slot.
func (p *planner) fewestKeys() Owner {
	best := p.ready[0]
	for _, c := range p.ready[1:] {
		if p.keysPerSlot(c) < p.keysPerSlot(best) {
			best = c
		}
	}
	return best.Owner
}

func (p *planner) keysPerSlot(c *Candidate) float64 {
	return float64(p.keyCounts[c.Owner]) / float64(max(c.Slots, 1))
}

// rebalanceToJoined moves shards to targets that have far less than their fair
// share of keys.
func (p *planner) rebalanceToJoined() {
	slots := 0
	for _, c := range p.ready {
		slots += max(c.Slots, 1)
	}
	for _, c := range p.ready {
		fair := float64(MaxKey+1) * float64(max(c.Slots, 1)) / float64(slots)
		if float64(p.keyCounts[c.Owner]) >= rebalanceThreshold*fair {
			continue
		}
		p.moveShardsTo(c, fair)
	}
}

// moveShardsTo revokes shards of the targets with the most keys in favour of c
// until c has its fair share.
func (p *planner) moveShardsTo(c *Candidate, fair float64) {
	order := slices.Collect(maps.Keys(p.keyCounts))
	for float64(p.keyCounts[c.Owner]) < fair {
		slices.SortFunc(order, func(a, b Owner) int {
			return cmp.Or(cmp.Compare(p.keyCounts[b], p.keyCounts[a]), cmp.Compare(a.Instance, b.Instance))
		})
		r := p.pickShard(order[0])
		if r == nil || order[0] == c.Owner || float64(p.keyCounts[c.Owner]+r.Len()) > fair*1.1 {
			return
		}
		p.keyCounts[order[0]] -= r.Len()
		p.keyCounts[c.Owner] += r.Len()
		p.revoke(r, c.Owner, RevokedToMove, ReasonJoined)
	}
}

// pickShard returns a shard of the owner that is neither revoked nor new in this
// table, or nil. Successive calls return shards that are far apart, so that the
// shards that a target transfers are a cross-section of its keys.
func (p *planner) pickShard(o Owner) *Shard {
	revoked := 0
	for i := range p.shards {
		if p.shards[i].Revoked != NotRevoked {
			revoked++
		}
	}
	start := revoked * 7919 % len(p.shards)
	for i := range p.shards {
		r := &p.shards[(start+i)%len(p.shards)]
		if r.Owner == o && r.Revoked == NotRevoked && r.Token != p.token {
			return r
		}
	}
	return nil
}

// Owners returns the instances that own shards, sorted by name.
func (t *Table) Owners() []ident.Instance {
	seen := make(map[ident.Instance]bool)
	for i := range t.Shards {
		if o := t.Shards[i].Owner; !o.IsZero() {
			seen[o.Instance] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

package ownertable

import (
	"slices"
	"strconv"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// GrantTracker tracks the shards that the targets of an instance hold: which were
// granted, when the grants expire and which were released. Only these two end a hold:
// that another target answers for the instance says nothing about the one before, which
// may still run. So one tracker outlives the targets. It is used by the daemon beside
// them, from one goroutine at a time.
type GrantTracker struct {
	// inheritedExpiry is when all grants of an earlier process of the daemon have
	// expired.
	inheritedExpiry clock.Time
	grants          map[ShardID]*trackedGrant
	releases        []statedRelease // of the present target, oldest first
}

// statedRelease is a range that the target has released, as it states in a heartbeat.
type statedRelease struct {
	Released
	seq uint64 // of the heartbeat
}

type trackedGrant struct {
	Range                 // as granted, or as in the newest table
	expires    clock.Time // time after which the grant has certainly expired at the target
	ownExpiry  clock.Time // the same for the grants of this process; Never if it granted nothing
	omittedSeq uint64     // sequence number of the first heartbeat whose reply omitted the shard
	confirmed  bool       // a heartbeat has listed the shard with its token
}

// NewGrantTracker returns the grant tracker of a daemon process that started at
// started.
func NewGrantTracker(started clock.Time) *GrantTracker {
	return &GrantTracker{inheritedExpiry: started.Add(GrantExpiryBound(LeaseTime)), grants: make(map[ShardID]*trackedGrant)}
}

// Report is the part of a heartbeat that concerns keys.
type Report struct {
	Seq      uint64
	Held     []Held
	Released []Released
}

// HeartbeatReply is the reply to a heartbeat.
type HeartbeatReply struct {
	Grants []Grant
	TTL    time.Duration // validity of the grants; 0 means that no grant is renewed
	// Released holds the handovers of the shards that the target has released.
	Released map[ShardID]string
}

// Heartbeat handles a heartbeat. shards are all shards that the newest table
// assigns to the target, left is the remaining time of the lease, and longest
// is the longest TTL that the target accepts.
func (t *GrantTracker) Heartbeat(shards []Shard, report *Report, left, longest time.Duration, now clock.Time) HeartbeatReply {
	for _, r := range report.Released {
		t.releases = append(t.releases, statedRelease{Released: r, seq: report.Seq})
	}
	var reply HeartbeatReply
	reply.TTL = GrantTTL(left, longest)
	for i := range report.Held {
		h := &report.Held[i]
		if g := t.grants[ShardID{From: h.From, Token: h.Token}]; g != nil {
			g.confirmed = true
		}
	}
	for i := range shards {
		t.grantOf(&shards[i]) // before a grant narrows the tracked range that other shards were split from
	}
	for i := range shards {
		r := &shards[i]
		if r.Revoked == NotRevoked {
			t.grant(&reply, r, now)
			continue
		}
		t.release(&reply, r, report, now)
	}
	t.prune(shards, now)
	reply.trimHandovers()
	return reply
}

const (
	// MaxAnswerBytes is the size above which targets reject the reply to a
	// heartbeat, as specified in the platform's service discovery page.
	MaxAnswerBytes = 4 << 10
	// maxGrantBytes is the space for grants in a reply, without the fields around
	// them.
	maxGrantBytes = MaxAnswerBytes - 296
	// grantBytes is the largest size of a grant in the text encoding, without the digits of
	// its token and its handover.
	grantBytes = 18
)

// trimHandovers drops handovers that do not fit in the reply. The keys of those
// shards are slow at first, which is better than a reply that the target rejects.
func (reply *HeartbeatReply) trimHandovers() {
	space := maxGrantBytes
	for i := range reply.Grants {
		space -= grantBytes + len(strconv.FormatUint(reply.Grants[i].Token, 10))
	}
	for i := range reply.Grants {
		if reply.Grants[i].Handover == "" {
			continue
		}
		if space -= len(strconv.Quote(reply.Grants[i].Handover)) - len(`""`); space < 0 {
			reply.Grants[i].Handover = ""
		}
	}
}

func (t *GrantTracker) grant(reply *HeartbeatReply, shard *Shard, now clock.Time) {
	if reply.TTL == 0 {
		return
	}
	g := t.grantOf(shard)
	grant := Grant{Range: shard.Range, Token: shard.Token, Handover: shard.Handover}
	if g.confirmed { // the target already has the handover
		grant.Handover = ""
	}
	reply.Grants = append(reply.Grants, grant)
	g.ownExpiry = max(g.ownExpiry, now.Add(GrantExpiryBound(reply.TTL)))
	g.Range, g.expires = shard.Range, max(g.expires, g.ownExpiry)
	g.omittedSeq = 0
}

// release marks a revoked shard as released when its grant has expired, or when
// the target has received a reply without the shard and states in later heartbeats
// that it has released it. That a heartbeat does not list the shard is not enough:
// it may be one of another writer.
func (t *GrantTracker) release(reply *HeartbeatReply, shard *Shard, report *Report, now clock.Time) {
	g := t.grantOf(shard)
	switch {
	case g.omittedSeq > 0 && !reportsHeld(report, shard.Range) && t.releaseStated(shard.Range, g.omittedSeq, now), !now.Before(g.expires):
		if reply.Released == nil {
			reply.Released = make(map[ShardID]string)
		}
		reply.Released[shard.ID()] = t.handover(shard.Range)
	case g.omittedSeq == 0 && reply.TTL > 0:
		g.omittedSeq = report.Seq
	}
}

// Granted reports whether this process tracks a grant of the shard and has not
// omitted the shard from a reply since.
func (t *GrantTracker) Granted(id ShardID) bool {
	g := t.grants[id]
	return g != nil && g.omittedSeq == 0
}

// Expired returns the handovers of those of the given shards whose grants have
// expired.
func (t *GrantTracker) Expired(shards []Shard, now clock.Time) map[ShardID]string {
	var released map[ShardID]string
	for i := range shards {
		if r := &shards[i]; !now.Before(t.grantOf(r).expires) {
			if released == nil {
				released = make(map[ShardID]string)
			}
			released[r.ID()] = t.handover(r.Range)
		}
	}
	return released
}

// grantOf returns the tracked grant of a shard. A shard that was split or merged
// since the last reply gets the latest expiry of the grants that it overlaps,
// because the target may hold it until then.
func (t *GrantTracker) grantOf(r *Shard) *trackedGrant {
	g := t.grants[r.ID()]
	if g == nil {
		g = &trackedGrant{expires: t.inheritedExpiry}
		for _, other := range t.grants {
			if other.Overlaps(r.Range) {
				g.expires = max(g.expires, other.expires)
			}
			if other.Covers(r.Range) {
				g.ownExpiry = max(g.ownExpiry, other.ownExpiry)
			}
		}
		t.grants[r.ID()] = g
		g.Range = r.Range
	}
	return g
}

// releaseStated reports whether the target has stated the release of all keys of r that it
// may hold, in heartbeats after the one numbered seq.
func (t *GrantTracker) releaseStated(r Range, seq uint64, now clock.Time) bool {
	rest := []Range{r}
	for i := range t.releases {
		if s := &t.releases[i]; s.seq > seq {
			rest = subtract(rest, s.Range)
		}
	}
	return !slices.ContainsFunc(rest, func(r Range) bool { return t.mayHoldPart(r, now) })
}

// mayHoldPart reports whether a target may hold keys of r.
func (t *GrantTracker) mayHoldPart(r Range, now clock.Time) bool {
	if now.Before(t.inheritedExpiry) {
		return true
	}
	for _, g := range t.grants {
		if g.Overlaps(r) && now.Before(g.ownExpiry) {
			return true
		}
	}
	return false
}

func reportsHeld(report *Report, r Range) bool {
	for i := range report.Held {
		if report.Held[i].Overlaps(r) {
			return true
		}
	}
	return false
}

// handover returns the handover that the target reported for a range when it
// released it, or an empty string.
func (t *GrantTracker) handover(r Range) string {
	for i := len(t.releases) - 1; i >= 0; i-- {
		if t.releases[i].Covers(r) {
			return t.releases[i].Handover
		}
	}
	return ""
}

// targetReplaced drops what the earlier target has stated. Its grants stay until they
// have expired.
func (t *GrantTracker) targetReplaced() {
	t.releases = nil
	for _, g := range t.grants {
		g.omittedSeq, g.confirmed = 0, false
	}
}

// maxReleases is the largest number of released ranges that are kept.
const maxReleases = 4 * smallTableShards

// prune removes the oldest stated releases and the state of shards that the target no
// longer owns and whose grants have expired, once there are too many of either.
func (t *GrantTracker) prune(shards []Shard, now clock.Time) {
	if n := len(t.releases) - maxReleases; n > 0 {
		t.releases = append(t.releases[:0], t.releases[n:]...)
	}
	if len(t.grants) <= 2*len(shards)+smallTableShards {
		return
	}
	live := make(map[ShardID]*trackedGrant, len(shards))
	for i := range shards {
		if g, ok := t.grants[shards[i].ID()]; ok {
			live[shards[i].ID()] = g
		}
	}
	for id, g := range t.grants {
		if now.Before(g.expires) {
			live[id] = g
		}
	}
	t.grants = live
}

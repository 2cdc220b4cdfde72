package ownertable

import "slices"

// PlanFirst returns the first table of an era and its differences from the older
// table, or nil if no target is ready. reported are the shards that targets have
// reported: they stay with the targets. The other keys go to their owners in the
// older table, which may be nil, as far as these are ready. Every shard gets a
// token of the era. The table must be appended at the offset at.
func PlanFirst(reported []Shard, older *Table, at uint64, input *PlanInput) (*Table, []Change) {
	p := newPlanner(at, input)
	if len(p.ready) == 0 || len(reported) == 0 && older == nil && !input.MembershipStable {
		return nil, nil
	}
	if older == nil {
		older = &Table{Shards: p.initialShards()}
	}
	p.shards = fillGaps(reported, older)
	p.mergeToFit()
	kept := make([]bool, len(p.shards))
	for i := range p.shards {
		if kept[i] = p.keepsOwner(&p.shards[i]); kept[i] {
			p.keyCounts[p.shards[i].Owner] += p.shards[i].Len()
		}
	}
	for i := range p.shards {
		r := &p.shards[i]
		if kept[i] {
			r.NextOwner, r.Revoked, r.Token, r.Handover = Owner{}, NotRevoked, p.token, ""
			p.changes = append(p.changes, Change{Shard: *r, Reason: ReasonRecovered})
			continue
		}
		p.assign(r, p.successor(r), "", ReasonRecovered)
	}
	p.mergeShards()
	return &Table{Shards: p.shards}, p.changes
}

// keepsOwner reports whether a shard stays with its owner in the first table of an
// era. An owner that has reported it keeps it also while its daemon does not
// respond. Shards of the older table are marked as revoked, see fillGaps.
func (p *planner) keepsOwner(r *Shard) bool {
	if r.Unassigned() {
		return false
	}
	_, ready := p.keyCounts[r.Owner]
	return ready || r.Revoked == NotRevoked
}

// fillGaps returns the reported shards and, for the keys between them, the parts of
// the older table's shards. The latter are marked as revoked to their planned
// owner or, without one, to their owner.
func fillGaps(reported []Shard, older *Table) []Shard {
	var shards []Shard
	next := uint32(0)
	gap := func(end uint32) { // end is the key after the gap
		for i := range older.Shards {
			if r := older.Shards[i]; next < end && r.From < end && r.To >= next {
				r.From, r.To = max(r.From, next), min(r.To, end-1)
				if r.Revoked == NotRevoked {
					r.Revoked, r.NextOwner = RevokedToMove, r.Owner
				}
				shards = append(shards, r)
			}
		}
	}
	for _, c := range reported {
		gap(c.From)
		shards = append(shards, c)
		next = c.To + 1
	}
	gap(MaxKey + 1)
	return shards
}

// mergeToFit merges adjacent shards of the same owner while there are too many.
func (p *planner) mergeToFit() {
	for i := len(p.shards) - 1; i > 0 && len(p.shards) > MaxShards(len(p.ready)); i-- {
		a, b := &p.shards[i-1], &p.shards[i]
		if a.Owner == b.Owner && a.NextOwner == b.NextOwner && a.Revoked == b.Revoked {
			a.To = b.To
			p.shards = slices.Delete(p.shards, i, i+1)
		}
	}
}

package ownertable

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// Keeper tracks what one life of a target holds: what it was granted, until
// when, and what it has let go. It belongs to the daemon beside the target.
type Keeper struct {
	// unknownEnds bounds grants of an earlier process of the daemon.
	unknownEnds clock.Time
	granted     map[RowID]*granted
	handovers   []Released // released ranges of rows that were not freed yet
}

type granted struct {
	Range              // as it was granted, or as the newest table has it
	ends    clock.Time // the target has surely let go after it
	omitted uint64     // seq of the first heartbeat answered without the row
	known   bool       // a heartbeat has listed the row under its token
}

// NewKeeper returns the Keeper of a daemon process that started at started.
func NewKeeper(started clock.Time) *Keeper {
	return &Keeper{unknownEnds: started.Add(HoldEnds(LeaseTime)), granted: make(map[RowID]*granted)}
}

// Report is what a heartbeat says of keys.
type Report struct {
	Seq      uint64
	Held     []Held
	Released []Released
}

// Answer is what a heartbeat is answered.
type Answer struct {
	Grants []Grant
	Hold   time.Duration // 0 renews nothing
	// Freed holds the rows that the target has let go, with their handover.
	Freed map[RowID]string
}

// Heartbeat answers a heartbeat. rows are all rows that the newest table names
// as the target's, left is how long the lease lasts, and longest the longest
// hold that the target takes.
func (k *Keeper) Heartbeat(rows []Row, report *Report, left, longest time.Duration, now clock.Time) Answer {
	k.handovers = append(k.handovers, report.Released...)
	var a Answer
	a.Hold = HoldTime(left, longest)
	for i := range report.Held {
		h := &report.Held[i]
		if g := k.granted[RowID{From: h.From, Token: h.Token}]; g != nil {
			g.known = true
		}
	}
	for i := range rows {
		k.of(&rows[i]) // before a grant narrows the row that others were part of
	}
	for i := range rows {
		r := &rows[i]
		if r.Revoked == NotRevoked {
			k.grant(&a, r, now)
			continue
		}
		k.release(&a, r, report, now)
	}
	k.forget(rows, now)
	a.fit()
	return a
}

const (
	// MaxAnswerBytes is the size above which targets don't take the answer to a
	// heartbeat, from the platform's page on service discovery.
	MaxAnswerBytes = 4 << 10
	// maxGrantBytes is the room for grants, beside what surrounds them.
	maxGrantBytes = MaxAnswerBytes - 296
	// grantBytes and handoverBytes are the most that a grant and its handover
	// take as text.
	grantBytes    = 22
	handoverBytes = 16
)

// fit drops handovers for which the answer has no room. Their keys are slow at
// first, which is better than an answer that does not count.
func (a *Answer) fit() {
	room := maxGrantBytes - grantBytes*len(a.Grants)
	for i := range a.Grants {
		if a.Grants[i].Handover == "" {
			continue
		}
		if room -= handoverBytes; room < 0 {
			a.Grants[i].Handover = ""
		}
	}
}

func (k *Keeper) grant(a *Answer, r *Row, now clock.Time) {
	if a.Hold == 0 {
		return
	}
	g := k.of(r)
	grant := Grant{Range: r.Range, Token: r.Token, Handover: r.Handover}
	if g.known { // the target has what the handover brings
		grant.Handover = ""
	}
	a.Grants = append(a.Grants, grant)
	g.Range, g.ends = r.Range, max(g.ends, now.Add(HoldEnds(a.Hold)))
	g.omitted = 0
}

// release frees a revoked row once a heartbeat that follows an answer without
// the row does not list it any more, or once its hold has run out.
func (k *Keeper) release(a *Answer, r *Row, report *Report, now clock.Time) {
	g := k.of(r)
	switch {
	case g.omitted > 0 && report.Seq > g.omitted && !holds(report, r.Range), !now.Before(g.ends):
		if a.Freed == nil {
			a.Freed = make(map[RowID]string)
		}
		a.Freed[r.ID()] = k.handover(r.Range)
	case g.omitted == 0 && a.Hold > 0:
		g.omitted = report.Seq
	}
}

// Granted reports whether a row was granted to the target by this process.
func (k *Keeper) Granted(id RowID) bool {
	g := k.granted[id]
	return g != nil && g.omitted == 0
}

// Lapsed returns the rows among those given whose holds have run out.
func (k *Keeper) Lapsed(rows []Row, now clock.Time) map[RowID]string {
	var freed map[RowID]string
	for i := range rows {
		if r := &rows[i]; !now.Before(k.of(r).ends) {
			if freed == nil {
				freed = make(map[RowID]string)
			}
			freed[r.ID()] = k.handover(r.Range)
		}
	}
	return freed
}

// of returns what is known of a row. One that was split off or joined since the
// target was last answered is held for as long as the rows that it was part of.
func (k *Keeper) of(r *Row) *granted {
	g := k.granted[r.ID()]
	if g == nil {
		g = &granted{ends: k.unknownEnds}
		for _, other := range k.granted {
			if other.Overlaps(r.Range) {
				g.ends = max(g.ends, other.ends)
			}
		}
		k.granted[r.ID()] = g
		g.Range = r.Range
	}
	return g
}

func holds(report *Report, r Range) bool {
	for i := range report.Held {
		if report.Held[i].Overlaps(r) {
			return true
		}
	}
	return false
}

// handover returns what the target has left for the next holder of a range.
func (k *Keeper) handover(r Range) string {
	for i := len(k.handovers) - 1; i >= 0; i-- {
		if k.handovers[i].Covers(r) {
			return k.handovers[i].Handover
		}
	}
	return ""
}

// maxHandovers bounds what is kept of released ranges.
const maxHandovers = 4 * MaxRows

// forget drops what rows of earlier tables left behind.
func (k *Keeper) forget(rows []Row, now clock.Time) {
	if n := len(k.handovers) - maxHandovers; n > 0 {
		k.handovers = append(k.handovers[:0], k.handovers[n:]...)
	}
	if len(k.granted) <= 2*len(rows)+MaxRows {
		return
	}
	live := make(map[RowID]*granted, len(rows))
	for i := range rows {
		if g, ok := k.granted[rows[i].ID()]; ok {
			live[rows[i].ID()] = g
		}
	}
	for id, g := range k.granted {
		if now.Before(g.ends) {
			live[id] = g
		}
	}
	k.granted = live
}

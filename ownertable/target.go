package ownertable

import "github.com/parsleystack/parsleystack/ident"

// Target names one life of a target. Its id may be used again by a later life;
// born, the Unix millisecond of its start, tells them apart.
type Target struct {
	ID   string
	Born int64
}

// IsZero reports whether t names no target.
func (t Target) IsZero() bool { return t == Target{} }

// Owner is a life of a target and the instance whose daemon grants to it.
type Owner struct {
	Instance ident.Instance
	Target   Target
}

// IsZero reports whether o names nobody.
func (o Owner) IsZero() bool { return o == Owner{} }

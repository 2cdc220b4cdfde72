package ownertable

import "github.com/parsleystack/parsleystack/ident"

// Target identifies one incarnation of a target. A later incarnation may reuse
// the ID; the start time, in Unix milliseconds, distinguishes them.
type Target struct {
	ID        string
	StartTime int64
}

// IsZero reports whether t is the zero value, which identifies no target.
func (t Target) IsZero() bool { return t == Target{} }

// Owner is an incarnation of a target and the instance whose daemon issues
// grants to it.
type Owner struct {
	Instance ident.Instance
	Target   Target
}

// IsZero reports whether o is the zero value, which means no owner.
func (o Owner) IsZero() bool { return o == Owner{} }

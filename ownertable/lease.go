package ownertable

import (
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// Lease determines until when a daemon may act as the owner of the shards that
// the newest table it has read assigns to it. It is confirmed in two ways:
//
//   - by a read of the store, which shows that it contained no newer revocation
//     when the read was sent.
//   - by lease extensions from all other members of the service. A member
//     extends the lease only if it has not proposed to revoke shards of this
//     daemon, and it stops extending the lease before it makes such a proposal.
//     Only members can propose.
//
// Extensions keep a lease valid while the store is unavailable, for at most
// MaxUnconfirmed after the last read, because members that joined later are
// not in the local directory.
type Lease struct {
	readSentAt clock.Time // when the last successful read was sent
	extensions map[ident.Instance]clock.Time
}

// NewLease returns a lease without any confirmation, which is not valid.
func NewLease() *Lease { return &Lease{extensions: make(map[ident.Instance]clock.Time)} }

// ConfirmRead records a complete read of the store that was sent at sent.
func (l *Lease) ConfirmRead(sent clock.Time) { l.readSentAt = max(l.readSentAt, sent) }

// ConfirmExtension records a lease extension by a member in response to a
// message sent at sent.
func (l *Lease) ConfirmExtension(by ident.Instance, sent clock.Time) {
	l.extensions[by] = max(l.extensions[by], sent)
}

// LastRead returns when the last successful read was sent.
func (l *Lease) LastRead() clock.Time { return l.readSentAt }

// End returns when the lease expires, or clock.Never if it was never confirmed
// by a read. others are all other members of the service in the newest
// directory.
func (l *Lease) End(others []ident.Instance) clock.Time {
	if l.readSentAt == clock.Never {
		return clock.Never
	}
	return max(l.readSentAt.Add(LeaseTime), l.ExtendedUntil(others))
}

// ExtendedUntil returns until when extensions alone keep the lease valid.
func (l *Lease) ExtendedUntil(others []ident.Instance) clock.Time {
	oldest := l.readSentAt.Add(MaxUnconfirmed - LeaseTime)
	for _, m := range others {
		oldest = min(oldest, l.extensions[m])
	}
	return oldest.Add(LeaseTime)
}

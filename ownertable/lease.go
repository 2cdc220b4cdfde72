package ownertable

import (
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// Lease says until when a daemon may act as owner of the rows that the newest
// table known to it names. It is confirmed in two ways:
//
//   - by a read of the store: no revocation stood there when the read was sent.
//   - by promises of all other members of the service, each of which has not
//     proposed to revoke this daemon's rows when it answered and proposes
//     nothing before it has stopped to promise. Only members can propose.
//
// The second way keeps leases while the store is away. It ends MaxUnconfirmed
// after the last read, since members that joined later are not known here.
type Lease struct {
	read     clock.Time // when the last successful read was sent
	promises map[ident.Instance]clock.Time
}

// NewLease returns a lease that was never confirmed.
func NewLease() *Lease { return &Lease{promises: make(map[ident.Instance]clock.Time)} }

// ConfirmRead reports a read of the store up to its end that was sent at sent.
func (l *Lease) ConfirmRead(sent clock.Time) { l.read = max(l.read, sent) }

// ConfirmPromise reports a promise of a member that answers a message sent at
// sent.
func (l *Lease) ConfirmPromise(by ident.Instance, sent clock.Time) {
	l.promises[by] = max(l.promises[by], sent)
}

// LastRead returns when the last successful read was sent.
func (l *Lease) LastRead() clock.Time { return l.read }

// End returns the end of the lease. others are all other members of the
// service in the newest table of members.
func (l *Lease) End(others []ident.Instance) clock.Time {
	if l.read == clock.Never {
		return clock.Never
	}
	return max(l.read.Add(LeaseTime), l.PromisedUntil(others))
}

// PromisedUntil returns until when promises keep the lease.
func (l *Lease) PromisedUntil(others []ident.Instance) clock.Time {
	oldest := l.read.Add(MaxUnconfirmed - LeaseTime)
	for _, m := range others {
		oldest = min(oldest, l.promises[m])
	}
	return oldest.Add(LeaseTime)
}

package driver

import (
	"context"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

// Sender carries messages to other members. Send must not block; a message
// may be lost.
type Sender interface {
	Send(to ident.Node, addr string, body []byte)
}

// LeaseTable is the part of the request path that checks leases.
type LeaseTable interface {
	// Store puts the holdings in force. No request is admitted under an older
	// set once Store has returned.
	Store(holdings []cell.Holding)
	// Quiesce calls done once no request of the range is in flight. The range
	// is marked as releasing by an earlier Store.
	Quiesce(r keyspace.Range, done func())
}

// Target receives orders about grants.
type Target interface {
	// Grant tells the target of a new grant and its lease.
	Grant(ctx context.Context, h cell.Holding) error
	// Prepare lets the target warm up for a range that it will own.
	Prepare(ctx context.Context, g cell.Grant) error
	// Revoke tells the target that it no longer owns the range.
	Revoke(ctx context.Context, g cell.Grant) error
}

// Observer is told of changes that the driver does not act on itself. Calls
// come from the control goroutine and must not block.
type Observer interface {
	// Changed gets the node's view after an event that changed it.
	Changed(v cell.View)
	// Audited gets entries for the audit trail.
	Audited(entries []cell.AuditEntry)
	// Failed gets a condition that an operator must know of.
	Failed(err error)
}

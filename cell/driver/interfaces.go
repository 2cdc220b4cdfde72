package driver

import (
	"context"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

// Sender sends encoded messages to other members. Send must not block; messages
// may be lost.
type Sender interface {
	Send(to ident.Node, addr string, body []byte)
}

// LeaseTable is the table of holdings that the request path checks requests
// against.
type LeaseTable interface {
	// Store replaces the holdings. Once it has returned, no request is admitted
	// under an older set.
	Store(holdings []cell.Holding)
	// Quiesce calls done once no request in the range is in flight. An earlier
	// Store must have marked the range as releasing.
	Quiesce(r keyspace.Range, done func())
}

// Target sends control requests about grants to the target.
type Target interface {
	// Grant notifies the target of a new grant and its lease.
	Grant(ctx context.Context, h cell.Holding) error
	// Prepare asks the target to warm up for a range that it will own.
	Prepare(ctx context.Context, g cell.Grant) error
	// Revoke notifies the target that it no longer owns the range.
	Revoke(ctx context.Context, g cell.Grant) error
}

// Observer receives notifications of state changes and errors. Its methods must
// not block. Changed and Audited are called by the control goroutine; Failed may
// be called by any goroutine.
type Observer interface {
	// Changed receives the node's view after each event.
	Changed(v cell.View)
	// Audited receives entries for the audit trail.
	Audited(entries []cell.AuditEntry)
	// Failed receives an error that operators should be informed of.
	Failed(err error)
}

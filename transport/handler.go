package transport

import (
	"context"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/wire"
)

// Handler serves the frames that a Server receives.
type Handler interface {
	// ServeRequest handles a request and answers it with e.Respond. Each call
	// runs in its own goroutine and may block.
	ServeRequest(e *Exchange)
	// ServeCellMessage handles a message of package cell. It must not block or
	// retain body.
	ServeCellMessage(from ident.Node, body []byte)
	// ServeCall handles a call and returns the body of the reply; ctx ends when
	// the connection closes. Each call runs in its own goroutine and may block.
	ServeCall(ctx context.Context, from ident.Node, kind wire.CallKind, body []byte) ([]byte, error)
}

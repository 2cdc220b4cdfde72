package transport

import (
	"context"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/wire"
)

// Handler serves the frames that a Server receives.
type Handler interface {
	// ServeRequest answers a request by Respond. Each call has a goroutine of
	// its own and may block.
	ServeRequest(e *Exchange)
	// ServeCellMessage takes a message of the ownership core. It must not
	// block or keep body.
	ServeCellMessage(from ident.Node, body []byte)
	// ServeCall answers a call; ctx ends when the peer leaves. Each call has a
	// goroutine of its own and may block.
	ServeCall(ctx context.Context, from ident.Node, kind wire.CallKind, body []byte) ([]byte, error)
}

package config

import (
	"context"

	"github.com/parsleystack/parsleystack/ident"
)

// PeerClient pulls the configuration from other daemons. Implementations must be
// safe for concurrent use.
type PeerClient interface {
	Pull(ctx context.Context, peer ident.Node, p Pull) (*PullAnswer, error)
}

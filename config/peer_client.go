package config

import (
	"context"

	"github.com/parsleystack/parsleystack/ident"
)

// PeerClient asks other daemons for their configuration. It is safe for
// concurrent use.
type PeerClient interface {
	Pull(ctx context.Context, peer ident.Node, p Pull) (*PullAnswer, error)
}

package route

import (
	"context"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

// Source finds owners that the local table does not know.
type Source interface {
	// Refresh returns what is known of the ranges of the service, at least of
	// the one that holds the point. It may ask other daemons.
	Refresh(ctx context.Context, svc ident.Service, p keyspace.Point) ([]Entry, error)
}

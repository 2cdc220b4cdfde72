package route

import (
	"context"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

// Source looks up owners that are missing from the local table.
type Source interface {
	// Refresh returns owners of ranges of the service, including the range that
	// contains p if its owner is found. It may send requests to other daemons.
	Refresh(ctx context.Context, svc ident.Service, p keyspace.Point) ([]Entry, error)
}

package lease

import (
	"sync/atomic"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/keyspace"
)

// grantKey identifies a grant across successive snapshots.
type grantKey struct {
	r     keyspace.Range
	token cell.Token
}

// counter counts the requests in flight under one grant.
type counter struct {
	key      grantKey
	inFlight atomic.Int64
}

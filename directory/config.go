package directory

import (
	"context"
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Client sends a Query to the daemon at an address. It is safe for concurrent
// use.
type Client interface {
	Query(ctx context.Context, addr string, q Query) (*Answer, error)
}

// Config holds what a Directory works with.
type Config struct {
	Region ident.Region // region whose cells are asked
	Log    platformlog.Log
	Client Client
	// Span returns the part of the hash space that the cell holds;
	// keyspace.Full if nil.
	Span func(svc ident.Service) keyspace.Range

	// QueryTimeout bounds one round of queries; DefaultQueryTimeout if 0.
	QueryTimeout time.Duration
	// ReadTimeout bounds the wait for the log; DefaultReadTimeout if 0.
	ReadTimeout time.Duration
}

const (
	// DefaultQueryTimeout is the default of Config.QueryTimeout.
	DefaultQueryTimeout = 200 * time.Millisecond
	// DefaultReadTimeout is the default of Config.ReadTimeout.
	DefaultReadTimeout = 500 * time.Millisecond

	// queryWidth is the number of members asked at once.
	queryWidth = 3
	// maxRounds bounds how often a Refresh follows a hint to another leader.
	maxRounds = 3
	// readLimit is the largest number of records of one read of the log.
	readLimit = 512
)

func (c Config) withDefaults() Config {
	if c.QueryTimeout == 0 {
		c.QueryTimeout = DefaultQueryTimeout
	}
	if c.ReadTimeout == 0 {
		c.ReadTimeout = DefaultReadTimeout
	}
	if c.Span == nil {
		c.Span = func(ident.Service) keyspace.Range { return keyspace.Full() }
	}
	return c
}

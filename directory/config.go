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

// Config holds the parameters of a Directory.
type Config struct {
	Region ident.Region // region whose cells are queried
	Log    platformlog.Log
	Client Client
	// Local returns the local daemon's own view of the service's cell, or nil if
	// it is not a member of the cell; Local may be nil.
	Local func(svc ident.Service) *Answer
	// Peers returns the addresses of daemons to query for the members of a cell
	// while the log is unavailable; it may be nil.
	Peers func() []string
	// Span returns the range of the hash space that the service's cell covers;
	// keyspace.Full if nil.
	Span func(svc ident.Service) keyspace.Range

	// QueryTimeout bounds one round of parallel queries; DefaultQueryTimeout if 0.
	QueryTimeout time.Duration
	// ReadTimeout bounds reading the stream to its tail; DefaultReadTimeout if 0.
	ReadTimeout time.Duration
}

const (
	// DefaultQueryTimeout is the default of Config.QueryTimeout.
	DefaultQueryTimeout = 200 * time.Millisecond
	// DefaultReadTimeout is the default of Config.ReadTimeout.
	DefaultReadTimeout = 500 * time.Millisecond

	// queryWidth is the number of members queried in parallel.
	queryWidth = 3
	// maxRounds bounds the rounds of queries in which a lookup follows answers to
	// another leader.
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
	if c.Local == nil {
		c.Local = func(ident.Service) *Answer { return nil }
	}
	if c.Peers == nil {
		c.Peers = func() []string { return nil }
	}
	if c.Span == nil {
		c.Span = func(ident.Service) keyspace.Range { return keyspace.Full() }
	}
	return c
}

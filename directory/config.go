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
	// Local returns what the local daemon itself knows of the service's cell, or
	// nil if it is no member of it; it may be nil.
	Local func(svc ident.Service) *Answer
	// Peers returns the addresses of daemons that may know the members of a
	// cell while the log does not answer; it may be nil.
	Peers func() []string
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

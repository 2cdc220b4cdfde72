// Package directory looks up the owners of the ranges of any service on demand.
// It queries members of the service's cell. It has their addresses from earlier
// answers, at first from the cell's stream of the log, or from other daemons if
// the log is unavailable. Changes of owner are not broadcast; an entry daemon
// refreshes after a wrong owner has refused a request.
package directory

import (
	"context"
	"sync"

	"golang.org/x/sync/singleflight"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/route"
)

// Directory implements route.Source. All methods are safe for concurrent use.
type Directory struct {
	cfg          Config
	refreshGroup singleflight.Group

	mu    sync.Mutex
	cells map[ident.Service]*cellState
}

var _ route.Source = (*Directory)(nil)

// New returns a directory with an empty cache.
func New(cfg Config) *Directory {
	return &Directory{cfg: cfg.withDefaults(), cells: make(map[ident.Service]*cellState)}
}

// Refresh returns the owners of all ranges of the service's cell. Concurrent
// calls for one service share one lookup. It returns a NoMemberError if no member
// of the cell is known or answers.
func (d *Directory) Refresh(ctx context.Context, svc ident.Service, _ keyspace.Point) ([]route.Entry, error) {
	ch := d.refreshGroup.DoChan(string(svc), func() (any, error) {
		return d.refresh(context.WithoutCancel(ctx), d.cell(svc))
	})
	select {
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	case r := <-ch:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.([]route.Entry), nil
	}
}

func (d *Directory) cell(svc ident.Service) *cellState {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.cells[svc]
	if c == nil {
		c = newCellState(svc, d.cfg.Region, d.cfg.Span(svc))
		d.cells[svc] = c
	}
	return c
}

// refresh queries the cached members. If none answers it gets the members from
// the log, or from other daemons if the log fails, and queries those.
func (d *Directory) refresh(ctx context.Context, c *cellState) ([]route.Entry, error) {
	if local := d.cfg.Local(c.service); local != nil {
		c.update(local)
		if local.Complete {
			return c.routeEntries(local), nil
		}
	}
	answer, err := d.queryMembers(ctx, c)
	if err == nil {
		return c.routeEntries(answer), nil
	}
	if readErr := d.readStream(ctx, c); readErr != nil && !d.queryPeers(ctx, c) {
		return nil, &NoMemberError{Service: c.service, Cause: readErr}
	}
	if answer, err = d.queryMembers(ctx, c); err != nil {
		return nil, &NoMemberError{Service: c.service, Cause: err}
	}
	return c.routeEntries(answer), nil
}

// CachedMembers returns the cached members of the service's cell as an
// incomplete answer, for a daemon that queries this one while the log is
// unavailable.
func (d *Directory) CachedMembers(svc ident.Service) *Answer { return d.cell(svc).cached() }

// queryPeers queries other daemons for the members of the cell and caches them.
// It reports whether an answer named any.
func (d *Directory) queryPeers(ctx context.Context, c *cellState) bool {
	addrs := d.cfg.Peers()
	answer, err := d.queryAll(ctx, c.service, addrs[:min(len(addrs), queryWidth)])
	if err != nil {
		return false
	}
	c.update(answer)
	return len(answer.Members) > 0
}

// queryMembers queries up to queryWidth members in parallel. It repeats that with
// the roles and members from the answers until an answer is complete, as those of
// the leader and the deputy are, for at most maxRounds rounds. It returns the best
// answer.
func (d *Directory) queryMembers(ctx context.Context, c *cellState) (*Answer, error) {
	var best *Answer
	var lastErr error
	for range maxRounds {
		answer, err := d.queryRound(ctx, c)
		if err != nil {
			lastErr = err
			break
		}
		if best == nil || answer.newer(best) {
			best = answer
		}
		c.update(answer)
		if answer.Complete {
			break
		}
	}
	if best == nil {
		return nil, lastErr
	}
	return best, nil
}

// queryRound queries up to queryWidth members in parallel and returns the best
// answer.
func (d *Directory) queryRound(ctx context.Context, c *cellState) (*Answer, error) {
	return d.queryAll(ctx, c.service, c.candidates(queryWidth))
}

// queryAll queries all addresses in parallel and returns the best answer.
func (d *Directory) queryAll(ctx context.Context, svc ident.Service, addrs []string) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.QueryTimeout)
	defer cancel()
	if len(addrs) == 0 {
		return nil, &NoMemberError{Service: svc}
	}
	results := make(chan queryResult, len(addrs))
	for _, addr := range addrs {
		go func() {
			answer, err := d.cfg.Client.Query(ctx, addr, Query{Service: svc})
			results <- queryResult{answer: answer, err: err}
		}()
	}
	return bestAnswer(results, len(addrs))
}

type queryResult struct {
	answer *Answer
	err    error
}

// bestAnswer receives n results and returns the best answer, or the last error if
// there is no answer.
func bestAnswer(results <-chan queryResult, n int) (*Answer, error) {
	var best *Answer
	var lastErr error
	for range n {
		r := <-results
		switch {
		case r.err != nil:
			lastErr = r.err
		case best == nil || r.answer.newer(best):
			best = r.answer
		}
	}
	if best == nil {
		return nil, lastErr
	}
	return best, nil
}

// readStream applies the new records of the cell's stream, within ReadTimeout.
func (d *Directory) readStream(ctx context.Context, c *cellState) error {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.ReadTimeout)
	defer cancel()
	return c.readStream(ctx, d.cfg.Log)
}

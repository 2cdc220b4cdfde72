// Package directory finds the owners of the ranges of any service on demand.
// It asks members of the service's cell, which it knows from their earlier
// answers or, at first, from the cell's stream of the log, or from other daemons
// if the log does not answer. A change of owner is
// never broadcast; the refusal of a wrong owner makes the entry daemon refresh.
package directory

import (
	"context"
	"sync"

	"golang.org/x/sync/singleflight"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/route"
)

// Directory implements route.Source. All methods may be called by any
// goroutine.
type Directory struct {
	cfg    Config
	flight singleflight.Group

	mu    sync.Mutex
	cells map[ident.Service]*cellState
}

var _ route.Source = (*Directory)(nil)

// New returns a directory that knows no cell yet.
func New(cfg Config) *Directory {
	return &Directory{cfg: cfg.withDefaults(), cells: make(map[ident.Service]*cellState)}
}

// Refresh returns the owners of all ranges of the service's cell. Concurrent
// calls for one service share one round of queries.
func (d *Directory) Refresh(ctx context.Context, svc ident.Service, _ keyspace.Point) ([]route.Entry, error) {
	ch := d.flight.DoChan(string(svc), func() (any, error) {
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

// refresh asks the members known so far and falls back to the log, then to
// other daemons.
func (d *Directory) refresh(ctx context.Context, c *cellState) ([]route.Entry, error) {
	if local := d.cfg.Local(c.service); local != nil {
		c.learn(local)
		if local.Complete {
			return c.entries(local), nil
		}
	}
	answer, err := d.askMembers(ctx, c)
	if err == nil {
		return c.entries(answer), nil
	}
	if readErr := d.readStream(ctx, c); readErr != nil && !d.askPeers(ctx, c) {
		return nil, &NoMemberError{Service: c.service, Cause: readErr}
	}
	if answer, err = d.askMembers(ctx, c); err != nil {
		return nil, &NoMemberError{Service: c.service, Cause: err}
	}
	return c.entries(answer), nil
}

// CachedMembers returns the members of the service's cell as an incomplete answer, for
// a daemon that asks while the log does not answer.
func (d *Directory) CachedMembers(svc ident.Service) *Answer { return d.cell(svc).known() }

// askPeers learns the members of the cell from other daemons. It reports
// whether any is known now.
func (d *Directory) askPeers(ctx context.Context, c *cellState) bool {
	addrs := d.cfg.Peers()
	answer, err := d.ask(ctx, c.service, addrs[:min(len(addrs), queryWidth)])
	if err != nil {
		return false
	}
	c.learn(answer)
	return len(answer.Members) > 0
}

// askMembers asks a few members at once and follows their hints until a
// leader or deputy has answered.
func (d *Directory) askMembers(ctx context.Context, c *cellState) (*Answer, error) {
	var best *Answer
	var lastErr error
	for range maxRounds {
		answer, err := d.askRound(ctx, c)
		if err != nil {
			lastErr = err
			break
		}
		if best == nil || answer.newer(best) {
			best = answer
		}
		c.learn(answer)
		if answer.Complete {
			break
		}
	}
	if best == nil {
		return nil, lastErr
	}
	return best, nil
}

// askRound asks up to queryWidth members at once and returns the best answer.
func (d *Directory) askRound(ctx context.Context, c *cellState) (*Answer, error) {
	return d.ask(ctx, c.service, c.candidates(queryWidth))
}

// ask asks all addresses at once and returns the best answer.
func (d *Directory) ask(ctx context.Context, svc ident.Service, addrs []string) (*Answer, error) {
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

// readStream folds what is new in the cell's stream.
func (d *Directory) readStream(ctx context.Context, c *cellState) error {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.ReadTimeout)
	defer cancel()
	return c.readStream(ctx, d.cfg.Log)
}

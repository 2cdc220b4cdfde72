package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/route"
)

// cellState caches the roles and members of one cell, and the state of reading
// its stream.
type cellState struct {
	service ident.Service
	stream  platformlog.Stream
	span    keyspace.Range

	mu      sync.Mutex
	term    uint64
	leader  ident.Node
	deputy  ident.Node
	members []cell.Member
	ledger  *cell.Ledger
	next    platformlog.Offset
}

func newCellState(svc ident.Service, region ident.Region, span keyspace.Range) *cellState {
	return &cellState{
		service: svc,
		stream:  cell.StreamName(svc, region, 0),
		span:    span,
		ledger:  cell.NewLedger(svc, span),
		next:    1,
	}
}

// update caches the roles and members in an answer, unless its term is older than
// the cached one or it has no members.
func (c *cellState) update(a *Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Term < c.term || len(a.Members) == 0 {
		return
	}
	c.term, c.leader, c.deputy, c.members = a.Term, a.Leader, a.Deputy, a.Members
}

// cached returns the cached roles and members as an incomplete answer.
func (c *cellState) cached() *Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Answer{Term: c.term, Leader: c.leader, Deputy: c.deputy, Members: c.members}
}

// candidates returns the addresses of up to n members: leader and deputy
// first, then others at random.
func (c *cellState) candidates(n int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var first, others []string
	for _, m := range c.members {
		if m.Node == c.leader || m.Node == c.deputy {
			first = append(first, m.Addr)
			continue
		}
		others = append(others, m.Addr)
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	addrs := append(first, others...)
	return addrs[:min(n, len(addrs))]
}

// routeEntries returns the grants of an answer with their owners' addresses. A
// grant whose owner is not among the members is left out.
func (c *cellState) routeEntries(a *Answer) []route.Entry {
	entries := make([]route.Entry, 0, len(a.Grants))
	for _, g := range a.Grants {
		for _, m := range a.Members {
			if m.Node == g.Owner {
				entries = append(entries, route.Entry{Range: g.Range, Owner: g.Owner, Addr: m.Addr, Zone: m.Zone, Token: g.Token})
				break
			}
		}
	}
	return entries
}

// readStream reads the stream up to its tail and caches its roles and members. If
// the next records have been truncated it continues at the earliest one left.
func (c *cellState) readStream(ctx context.Context, log platformlog.Log) error {
	c.mu.Lock()
	from := c.next
	c.mu.Unlock()
	for {
		batch, err := log.Read(ctx, c.stream, from, readLimit)
		if truncated, ok := errors.AsType[*platformlog.TruncatedError](err); ok && truncated.Earliest > from {
			from = truncated.Earliest
			continue
		}
		if err != nil {
			return err
		}
		c.apply(batch)
		if batch.AtTail(from) {
			return nil
		}
		from = batch.Records[len(batch.Records)-1].Offset + 1
	}
}

// apply applies a batch of records to the ledger, and caches its roles and
// members unless the cached term is later.
func (c *cellState) apply(batch platformlog.Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range batch.Records {
		c.ledger.Apply(r.Offset, r.Time, r.Payload)
		c.next = r.Offset + 1
	}
	if c.ledger.Term() >= c.term {
		c.term, c.leader, c.deputy = c.ledger.Term(), c.ledger.Leader(), c.ledger.Deputy()
		c.members = c.ledger.Members()
	}
}

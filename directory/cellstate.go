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

// cellState is what the directory knows of one cell.
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

// learn keeps the roles and members that an answer names.
func (c *cellState) learn(a *Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Term < c.term || len(a.Members) == 0 {
		return
	}
	c.term, c.leader, c.deputy, c.members = a.Term, a.Leader, a.Deputy, a.Members
}

// known returns what learn has kept.
func (c *cellState) known() *Answer {
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

// entries returns the grants of an answer with their owners' addresses.
func (c *cellState) entries(a *Answer) []route.Entry {
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

// readStream reads the stream up to its end and takes over its members.
func (c *cellState) readStream(ctx context.Context, log platformlog.Log) error {
	c.mu.Lock()
	from := c.next
	c.mu.Unlock()
	for {
		batch, err := log.Read(ctx, c.stream, from, readLimit)
		if gap, ok := errors.AsType[*platformlog.GapError](err); ok && gap.Earliest > from {
			from = gap.Earliest
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

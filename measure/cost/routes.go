package cost

import (
	"fmt"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/directory"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/lease"
	"github.com/parsleystack/parsleystack/measure"
	"github.com/parsleystack/parsleystack/route"
	"github.com/parsleystack/parsleystack/service"
)

const (
	// membersPerCell is the number of owners of the ranges of one service.
	membersPerCell = cell.MaxMembers

	// lookups is the number of lookups per round of a CPU time measurement.
	lookups = 200_000
)

var (
	cachedRanges    = []int{1_000, 10_000, 50_000, 150_000, 300_000}
	cachedServices  = []int{1, 10, 40, 100, 200, 400}
	cellRangeCounts = []int{12, 48, 192, 768, 3072}
	heldRanges      = []int{8, 32, 128, 512, 2048}
)

// rangesPerService is the number of cached ranges of one service.
const rangesPerService = 256

// Routes measures the memory and CPU time of an entry daemon's cached routes and of
// an owner's leases.
func Routes(facts measure.Facts) ([]*measure.Series, error) {
	cache := &measure.Series{Name: "route-cache-bytes", Quantity: "heap of an entry daemon's cached routes, by ranges", Unit: "B", Facts: facts}
	for _, n := range cachedRanges {
		cache.Add(float64(n), heapOf(func() any { return cachedRouter(n) }))
	}
	update := &measure.Series{Name: "route-learn-cpu", Quantity: "processor time of one route that is learned, by services in the table", Unit: "ns", Facts: facts}
	for _, n := range cachedServices {
		ns, err := routeUpdateTime(n)
		if err != nil {
			return nil, err
		}
		update.Add(float64(n), ns)
	}
	owners, err := ownersResponseBytes(facts)
	if err != nil {
		return nil, err
	}
	lookup := &measure.Series{Name: "route-lookup-cpu", Quantity: "processor time of a route decision and a lease check, by ranges held", Unit: "ns", Facts: facts}
	held := &measure.Series{Name: "lease-table-bytes", Quantity: "heap of an owner's lease table, by ranges held", Unit: "B", Facts: facts}
	for _, n := range heldRanges {
		held.Add(float64(n), heapOf(func() any { return newLeaseTable(n) }))
		ns, err := lookupTime(n)
		if err != nil {
			return nil, err
		}
		lookup.Add(float64(n), ns)
	}
	return []*measure.Series{cache, update, owners, held, lookup}, nil
}

// ownersResponseBytes measures the response to an entry daemon's query for the owners
// of a cell with the maximum number of members.
func ownersResponseBytes(facts measure.Facts) (*measure.Series, error) {
	s := &measure.Series{Name: "owners-answer-bytes", Quantity: "answer to a query for the owners of a cell, by ranges", Unit: "B", Facts: facts}
	for _, n := range cellRangeCounts {
		a := directory.Answer{Term: 1000, Leader: memberNode(0, 0), Deputy: memberNode(0, 1), Complete: true}
		for i := range membersPerCell {
			a.Members = append(a.Members, cellConfig(i, n).Self)
		}
		for _, e := range entries(0, n) {
			a.Grants = append(a.Grants, cell.Grant{Range: e.Range, Owner: e.Owner, Token: e.Token})
		}
		body, err := a.MarshalMsg(nil)
		if err != nil {
			return nil, fmt.Errorf("cost: %w", err)
		}
		s.Add(float64(n), float64(len(body)))
	}
	return s, nil
}

func serviceName(i int) ident.Service { return ident.Service(fmt.Sprintf("service-%05d", i)) }

func memberNode(service, member int) ident.Node {
	return ident.Node{Instance: ident.Instance(fmt.Sprintf("service-%05d-%02d", service, member)), Incarnation: 1_700_000_000_000_000_000}
}

// spec returns the configuration of a service like those of the sample deployments.
func spec(i int) service.Spec {
	return service.Spec{
		Name:   serviceName(i),
		Key:    service.KeyRule{Source: service.KeyPathSegment},
		Ranges: rangesPerService,
		Methods: []service.Method{
			{HTTPMethod: "GET", Idempotent: true, Priority: 5, Timeout: 2e9},
			{HTTPMethod: "POST", Priority: 6, Timeout: 5e9},
		},
		Fenced:     true,
		RetryRatio: 0.1,
		Slots:      20,
		Conns:      130,
		QueueLimit: 40,
		MaxMoves:   6,
	}
}

// entries returns the owners of the ranges of one service.
func entries(service, ranges int) []route.Entry {
	result := make([]route.Entry, 0, ranges)
	for i, r := range keyspace.Divide(ranges) {
		member := i % membersPerCell
		result = append(result, route.Entry{
			Range: r,
			Owner: memberNode(service, member),
			Addr:  fmt.Sprintf("10.%d.%d.%d:7000", service/250, service%250, member+1),
			Zone:  ident.Zone(fmt.Sprintf("zone-%02d", member%3)),
			Token: cell.Token{Term: 1000, Seq: uint64(i)},
		})
	}
	return result
}

// cachedRouter returns a router with routes of n ranges.
func cachedRouter(n int) *route.Router {
	services := max(1, n/rangesPerService)
	r := route.NewRouter()
	specs := make([]service.Spec, services)
	for i := range specs {
		specs[i] = spec(i)
	}
	r.SetSpecs(1, specs)
	for i := range specs {
		r.MergeEntries(specs[i].Name, entries(i, n/services)...)
	}
	return r
}

// routeUpdateTime measures the CPU time of a change of owner of one range.
func routeUpdateTime(services int) (float64, error) {
	r := cachedRouter(services * rangesPerService)
	e := entries(0, rangesPerService)[7]
	return measure.CPUPerCall(500, func() error {
		e.Token.Term++
		if !r.MergeEntries(serviceName(0), e) {
			return fmt.Errorf("cost: the router rejected a newer route")
		}
		return nil
	})
}

// newLeaseTable returns a lease table with n ranges.
func newLeaseTable(n int) *lease.Table {
	t := lease.NewTable(clock.Now)
	holdings := make([]cell.Holding, 0, n)
	for i, r := range keyspace.Divide(n) {
		holdings = append(holdings, cell.Holding{
			Grant:   cell.Grant{Range: r, Owner: memberNode(0, 0), Token: cell.Token{Term: 1000, Seq: uint64(i)}},
			Expires: clock.Now().Add(1 << 50),
		})
	}
	t.Store(holdings)
	return t
}

// lookupTime measures the CPU time of the route decision and the lease check of one
// request.
func lookupTime(ranges int) (float64, error) {
	router, table := cachedRouter(ranges), newLeaseTable(ranges)
	name := []byte(serviceName(0))
	now := clock.Now()
	var p keyspace.Point
	ns, err := measure.CPUPerCall(1, func() error {
		for range lookups {
			p += 0x9e3779b97f4a7c15 // covers the whole hash space
			if err := routeAndCheckLease(router, table, name, p, now); err != nil {
				return err
			}
		}
		return nil
	})
	return ns / lookups, err
}

func routeAndCheckLease(router *route.Router, table *lease.Table, name []byte, p keyspace.Point, now clock.Time) error {
	s, ok := router.Table().Service(name)
	if !ok {
		return fmt.Errorf("cost: service %s has no route", name)
	}
	if _, ok := s.Owner(p); !ok {
		return fmt.Errorf("cost: point %x has no owner", uint64(p))
	}
	if _, _, result := table.Check(p, now); result != lease.Held {
		return fmt.Errorf("cost: point %x is not held", uint64(p))
	}
	return nil
}

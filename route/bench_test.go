package route_test

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/lease"
	"github.com/parsleystack/parsleystack/route"
	"github.com/parsleystack/parsleystack/service"
)

const benchRanges = 4096

func benchTables() (*route.Router, *lease.Table) {
	r := route.NewRouter()
	r.SetSpecs(1, []service.Spec{{Name: "reports"}, {Name: "bookings"}})
	leases := lease.NewTable(clock.Now)
	var entries []route.Entry
	var holdings []cell.Holding
	for i, part := range keyspace.Divide(benchRanges) {
		node := ident.Node{Instance: ident.Instance(string(rune('a' + i%4))), Incarnation: 1}
		token := cell.Token{Term: 1, Seq: uint64(i + 1)}
		entries = append(entries, route.Entry{Range: part, Owner: node, Addr: "127.0.0.1:1", Token: token})
		holdings = append(holdings, cell.Holding{Grant: cell.Grant{Range: part, Owner: node, Token: token}, Expires: clock.Now().Add(time.Hour)})
	}
	r.MergeEntries("reports", entries...)
	leases.Store(holdings)
	return r, leases
}

// BenchmarkDecision is the route decision (service, hash, range, owner) and the
// lease check at a given time.
func BenchmarkDecision(b *testing.B) {
	now := clock.Now()
	benchDecision(b, func() clock.Time { return now })
}

// BenchmarkDecisionWithClock is the same with a reading of the clock.
func BenchmarkDecisionWithClock(b *testing.B) { benchDecision(b, clock.Now) }

func benchDecision(b *testing.B, now func() clock.Time) {
	r, leases := benchTables()
	name, keys := []byte("reports"), make([][]byte, 1024)
	for i := range keys {
		keys[i] = []byte{'h', 'o', 'u', 's', 'e', '-', byte(i), byte(i >> 8)}
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		s, _ := r.Table().Service(name)
		p := keyspace.Hash(s.Spec.Name, keys[i%len(keys)])
		to, ok := s.Owner(p)
		_, _, v := leases.Check(p, now())
		if !ok || v != lease.Held || to.Peer == nil {
			b.Fatal("not held")
		}
		i++
	}
}

func BenchmarkChoose(b *testing.B) {
	r, _ := benchTables()
	s, _ := r.Table().Service([]byte("reports"))
	b.ReportAllocs()
	random := uint64(1)
	for b.Loop() {
		random = random*6364136223846793005 + 1
		if _, ok := s.Choose("z1", random, nil, 1); !ok {
			b.Fatal("no choice")
		}
	}
}

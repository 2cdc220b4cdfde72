package route_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/route"
	"github.com/parsleystack/parsleystack/service"
)

// The newest token wins, whatever the order of the news.
func Example() {
	router := route.NewRouter()
	router.SetSpecs(1, []service.Spec{{Name: "reports", Key: service.KeyRule{Source: service.KeyPathSegment}}})
	entry := func(name string, seq uint64) route.Entry {
		return route.Entry{
			Range: keyspace.Full(),
			Owner: ident.Node{Instance: ident.Instance(name), Incarnation: 1},
			Addr:  name + ":7000",
			Token: cell.Token{Term: 1, Seq: seq},
		}
	}
	fmt.Println(router.Learn("reports", entry("reports-2", 2)))
	fmt.Println(router.Learn("reports", entry("reports-1", 1)))

	svc, _ := router.Table().Service([]byte("reports"))
	found, ok := svc.Owner(keyspace.Hash("reports", []byte("via-roma-1")))
	fmt.Println(found.Entry.Owner, ok)
	// Output:
	// true
	// false
	// reports-2#1 true
}

package route_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/route"
	"github.com/parsleystack/parsleystack/service"
)

func Example() {
	router := route.NewRouter()
	router.SetSpecs(1, []service.Spec{{Name: "reports"}})
	for seq, addr := range []string{"10.0.0.1:7100", "10.0.0.2:7100"} {
		router.MergeEntries("reports", route.Entry{
			Range: keyspace.Full(), Owner: ident.Node{Instance: "reports-1"}, Addr: addr,
			Token: cell.Token{Term: 1, Seq: uint64(seq)},
		})
	}
	svc, _ := router.Table().Service([]byte("reports"))
	owner, _ := svc.Owner(keyspace.Hash("reports", []byte("via-roma-1")))
	fmt.Println(owner.Entry.Addr, owner.Entry.Token)
	// Output: 10.0.0.2:7100 1.1
}

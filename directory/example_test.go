package directory_test

import (
	"context"
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/directory"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog/logtest"
)

// member is a Client that returns the same answer for every query.
type member struct {
	answer directory.Answer
}

func (m member) Query(context.Context, string, directory.Query) (*directory.Answer, error) {
	return &m.answer, nil
}

// The first Refresh gets the members from the cell's stream of the log.
func Example() {
	ctx := context.Background()
	node := ident.Node{Instance: "reports-1", Incarnation: 1}
	self := cell.Member{Node: node, Zone: "z1", Addr: "10.0.0.1:7000"}
	log := logtest.New(logtest.Options{LongPoll: time.Millisecond})
	announce := cell.Record{Announce: &cell.Announce{Nonce: 1, Member: self}}
	_, _ = log.Append(ctx, cell.StreamName("reports", "lombardy", 0), announce.AppendTo(nil))

	dir := directory.New(directory.Config{
		Region: "lombardy",
		Log:    log,
		Client: member{answer: directory.Answer{
			Term:     2,
			Leader:   node,
			Complete: true,
			Members:  []cell.Member{self},
			Grants:   []cell.Grant{{Range: keyspace.Full(), Owner: node, Token: cell.Token{Term: 2, Seq: 1}}},
		}},
	})
	entries, err := dir.Refresh(ctx, "reports", 0)
	fmt.Println(err)
	fmt.Println(entries[0].Owner, entries[0].Addr)
	// Output:
	// <nil>
	// reports-1#1 10.0.0.1:7000
}

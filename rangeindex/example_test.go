package rangeindex_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/rangeindex"
)

func Example() {
	ranges := keyspace.Divide(4)
	index := rangeindex.New(ranges[1:])
	fmt.Println(index.Find(keyspace.MaxPoint))
	fmt.Println(index.Find(0))
	// Output:
	// 2
	// -1
}

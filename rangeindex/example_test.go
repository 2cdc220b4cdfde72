package rangeindex_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/rangeindex"
)

func Example() {
	index := rangeindex.New(keyspace.Divide(4))
	fmt.Println(index.Find(0), index.Find(keyspace.MaxPoint))
	// Output: 0 3
}

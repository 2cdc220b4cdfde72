package keyspace_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/keyspace"
)

// A key belongs to exactly one range of the divided hash space.
func Example() {
	ranges := keyspace.Divide(4)
	point := keyspace.Hash("reports", []byte("via-roma-1"))
	holders := 0
	for _, r := range ranges {
		if r.Contains(point) {
			holders++
		}
	}
	fmt.Println(holders)
	fmt.Println(ranges[0])
	fmt.Println(ranges[0].Overlaps(ranges[1]), keyspace.Full().Overlaps(ranges[1]))
	// Output:
	// 1
	// 0000000000000000-3fffffffffffffff
	// false true
}

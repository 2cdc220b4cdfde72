package link_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/standin/link"
)

// A network relays the connections of its routes.
func Example() {
	network := link.New([]link.Route{})
	fmt.Println(network != nil)
	// Output: true
}

package link_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/standin/link"
)

// A daemon announces the address of its route, and so is reached through the
// network.
func Example() {
	route, err := link.ParseRoute("reports-1=127.0.0.1:31800=127.0.0.1:31100")
	if err != nil {
		fmt.Println(err)
		return
	}
	network := link.New([]link.Route{route})
	network.Set(link.Control{Cuts: []link.Cut{{From: link.Any, To: route.Instance}}})
	fmt.Println(route.Instance, route.Listen, route.Forward)
	// Output:
	// reports-1 127.0.0.1:31800 127.0.0.1:31100
}

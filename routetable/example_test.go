package routetable_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/routetable"
)

// The longest prefix of a host wins.
func Example() {
	t := routetable.New(routetable.Configuration{Version: 7, Routes: []routetable.Route{
		{Name: "all", Host: "shop.example", PathPrefix: "/a/"},
		{Name: "part", Host: "shop.example", PathPrefix: "/a/b/"},
	}})
	r, _ := t.Lookup("shop.example:8080", "/a/b/c?d=e")
	_, ok := t.Lookup("shop.example", "/b/")
	fmt.Println(r.Name, ok)
	// Output: part false
}

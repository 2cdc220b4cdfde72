package ident_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/ident"
)

// Two processes of one instance are two nodes.
func Example() {
	first := ident.Node{Instance: "reports-2", Incarnation: 1}
	restarted := ident.Node{Instance: "reports-2", Incarnation: 2}
	fmt.Println(first, restarted, first == restarted)
	fmt.Println(ident.Node{}.IsZero())
	// Output:
	// reports-2#1 reports-2#2 false
	// true
}

package httpfield_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/httpfield"
)

// A proxy forwards neither fields of one connection nor internal ones.
func Example() {
	for _, name := range []string{"Accept", "Connection", "Parsley-Token", "Content-Length"} {
		field := []byte(name)
		fmt.Println(name, httpfield.HopByHop(field), httpfield.Internal(field), httpfield.Length(field))
	}
	// Output:
	// Accept false false false
	// Connection true false false
	// Parsley-Token false true false
	// Content-Length false false true
}

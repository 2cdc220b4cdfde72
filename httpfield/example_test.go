package httpfield_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/httpfield"
)

func Example() {
	for _, name := range []string{"Connection", "parsley-token", "Accept"} {
		fmt.Println(name, httpfield.HopByHop([]byte(name)), httpfield.Internal([]byte(name)))
	}
	// Output:
	// Connection true false
	// parsley-token false true
	// Accept false false
}

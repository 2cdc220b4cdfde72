package tcprelay_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/standin/tcprelay"
)

// A relay listens at an address of its own.
func Example() {
	r, err := tcprelay.Listen("127.0.0.1:0", "127.0.0.1:1")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer r.Close()
	r.Silence(tcprelay.Both)
	fmt.Println(r.Addr() != "")
	// Output: true
}

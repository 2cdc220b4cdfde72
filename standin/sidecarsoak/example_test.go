package sidecarsoak_test

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/standin/sidecarsoak"
)

// The options of a soak.
func Example() {
	o := sidecarsoak.Options{Dir: "run/soak", Network: "127.90.1", Seed: 7, Length: time.Minute}
	fmt.Println(o.Seed, o.Length)
	// Output: 7 1m0s
}

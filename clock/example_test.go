package clock_test

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// A lease is valid while the current reading is before its expiry.
func Example() {
	granted := clock.Now()
	expires := granted.Add(2 * time.Second)
	fmt.Println(granted.Before(expires), expires.Sub(granted))
	fmt.Println(expires.Before(clock.Now().Add(time.Minute)))
	// Output:
	// true 2s
	// true
}

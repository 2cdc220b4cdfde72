package ratelimit_test

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ratelimit"
)

// A response to a request that was sent before the limit was stated does not withdraw it.
func ExampleStated() {
	start := clock.Time(time.Second)
	var limit ratelimit.Stated
	limit.Observe(true, 20, start, start.Add(50*time.Millisecond))
	limit.Observe(false, 0, start.Add(10*time.Millisecond), start.Add(80*time.Millisecond))
	fmt.Println(limit.Limited, limit.Rate)
	limit.Observe(false, 0, start.Add(90*time.Millisecond), start.Add(120*time.Millisecond))
	fmt.Println(limit.Limited)
	// Output:
	// true 20
	// false
}

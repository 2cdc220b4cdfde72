package hedge_test

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/hedge"
)

// After responses within 100 ms, a request that takes longer gets a copy.
func Example() {
	p := hedge.New(0.05)
	now := clock.Time(time.Second)
	for range 100 {
		p.CountRequest()
		p.Observe("listing", 95*time.Millisecond, now)
	}
	delay, refusal := p.Delay(&hedge.Request{Route: "listing", Idempotent: true, AttemptsLeft: 2, Left: time.Second})
	fmt.Println(delay.Round(time.Millisecond), refusal)
	fmt.Println(p.Admit(hedge.State{Route: "listing", Left: 900 * time.Millisecond, Spare: true}))
	fmt.Println(p.Admit(hedge.State{Route: "listing", Left: 900 * time.Millisecond}))
	// Output:
	// 108ms none
	// none
	// capacity
}

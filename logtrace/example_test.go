package logtrace_test

import (
	"fmt"
	"strings"

	"github.com/parsleystack/parsleystack/logtrace"
)

func Example() {
	lines, err := logtrace.Read(strings.NewReader(`{"ts":1784498611.5,"msg":"request refused","instance":"node-b","event":7501,"request":"r1","reason":"draining"}`))
	trace := logtrace.Find(lines, "r1")
	fmt.Println(len(trace.Request), trace.Cause(), err)
	// Output: 1 the daemon or the target was leaving <nil>
}

package celltest_test

import (
	"fmt"
	"strings"

	"github.com/parsleystack/parsleystack/cell/celltest"
)

// A schedule is written as text. Each run of it gives the same result.
func Example() {
	text := `seed 1
profile single
size 4
fault at=20s dur=10s kind=kill from=leader
`
	schedule, err := celltest.ReadTrace(strings.NewReader(text))
	if err != nil {
		fmt.Println(err)
		return
	}
	first := celltest.Run(celltest.CellOptions(), schedule)
	again := celltest.Run(celltest.CellOptions(), schedule)
	fmt.Println(first.Violation == nil, first.Terms, first.Steps == again.Steps)
	// Output:
	// true 2 true
}

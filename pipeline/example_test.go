package pipeline_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/pipeline"
)

func Example() {
	q := pipeline.NewQueue[string](pipeline.Limits{Requests: 8, Bytes: 1 << 20})
	for _, r := range []string{"read a", "book b", "read c"} {
		q.Add(r, pipeline.Request{Idempotent: r != "book b", Deadline: 100})
	}
	numbers := make(map[string]uint64)
	begin := func() {
		for v, number, _, ok := q.Begin(1); ok; v, number, _, ok = q.Begin(1) {
			numbers[v] = number
			fmt.Println("begin", v)
		}
	}
	begin()
	for _, r := range []string{"read c", "read a", "book b"} {
		q.Answered(numbers[r], 0, false)
		responses, _ := q.Write(nil)
		q.Written()
		fmt.Println("after", r, "write", responses)
		begin()
	}
	// Output:
	// begin read a
	// begin read c
	// after read c write []
	// after read a write [read a]
	// begin book b
	// after book b write [book b read c]
}

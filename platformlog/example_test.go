package platformlog_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/platformlog/logtest"
)

// A reader takes up where the last batch ended and learns of a gap.
func Example() {
	ctx := context.Background()
	var log platformlog.Log = logtest.New(logtest.Options{MaxRecords: 2, LongPoll: time.Millisecond})
	for _, text := range []string{"a", "b", "c"} {
		offset, err := log.Append(ctx, "cell", []byte(text))
		fmt.Println(offset, err)
	}
	_, err := log.Read(ctx, "cell", 1, 10)
	var gap *platformlog.GapError
	if errors.As(err, &gap) {
		fmt.Println("earliest record kept:", gap.Earliest)
	}
	batch, _ := log.Read(ctx, "cell", gap.Earliest, 10)
	fmt.Println(len(batch.Records), batch.Next, batch.AtTail(gap.Earliest))
	// Output:
	// 1 <nil>
	// 2 <nil>
	// 3 <nil>
	// earliest record kept: 2
	// 2 4 true
}

package platformlog_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/platformlog/logtest"
)

// A reader that asks for expired records receives the earliest available
// offset and continues from there.
func Example() {
	ctx := context.Background()
	var log platformlog.Log = logtest.New(logtest.Options{MaxRecords: 2, LongPoll: time.Millisecond})
	for _, text := range []string{"a", "b", "c"} {
		offset, err := log.Append(ctx, "cell", []byte(text))
		fmt.Println(offset, err)
	}
	_, err := log.Read(ctx, "cell", 1, 10)
	var truncated *platformlog.TruncatedError
	if errors.As(err, &truncated) {
		fmt.Println("earliest record kept:", truncated.Earliest)
	}
	batch, _ := log.Read(ctx, "cell", truncated.Earliest, 10)
	fmt.Println(len(batch.Records), batch.Next, batch.AtTail(truncated.Earliest))
	// Output:
	// 1 <nil>
	// 2 <nil>
	// 3 <nil>
	// earliest record kept: 2
	// 2 4 true
}

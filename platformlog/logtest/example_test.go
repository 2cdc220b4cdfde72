package logtest_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/platformlog/logtest"
)

// An append whose answer is lost has taken effect all the same.
func Example() {
	ctx := context.Background()
	log := logtest.New(logtest.Options{LongPoll: time.Millisecond})
	log.SetFaults(logtest.Faults{LoseAnswerRatio: 1})
	_, err := log.Append(ctx, "cell", []byte("claim"))
	var unknown *platformlog.UnknownOutcomeError
	fmt.Println(errors.As(err, &unknown))

	log.SetFaults(logtest.Faults{})
	batch, _ := log.Read(ctx, "cell", 1, 10)
	fmt.Printf("%s\n", batch.Records[0].Payload)

	log.SetFaults(logtest.Faults{Outage: true})
	_, err = log.Append(ctx, "cell", []byte("claim"))
	fmt.Println(errors.Is(err, logtest.ErrOutage), log.Stats().Appends)
	// Output:
	// true
	// claim
	// true 1
}

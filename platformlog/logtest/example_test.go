package logtest_test

import (
	"context"
	"fmt"

	"github.com/parsleystack/parsleystack/platformlog/logtest"
)

// After a lost response, a read shows whether the append took effect.
func Example() {
	log := logtest.New(logtest.Options{})
	log.SetFaults(logtest.Faults{LostResponseRatio: 1})
	_, err := log.Append(context.Background(), "config", []byte("nonce 7"))
	fmt.Println("response lost:", err != nil)

	batch, err := log.Read(context.Background(), "config", 1, 10)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf("record %d: %s\n", batch.Records[0].Offset, batch.Records[0].Payload)
	// Output:
	// response lost: true
	// record 1: nonce 7
}

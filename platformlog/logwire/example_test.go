package logwire_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/platformlog/logwire"
)

// The response to a read is one msgpack message.
func Example() {
	fmt.Println(logwire.Path("config"))
	response := logwire.Batch{Earliest: 1, Next: 2, Records: []logwire.Record{{Offset: 1, Payload: []byte("x")}}}
	body, _ := response.MarshalMsg(nil)
	var got logwire.Batch
	_, err := got.UnmarshalMsg(body)
	fmt.Println(err, got.Next, len(got.Records))
	// Output:
	// /v1/streams/config
	// <nil> 2 1
}

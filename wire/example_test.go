package wire_test

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/parsleystack/parsleystack/wire"
)

// A torn frame is an error of its own type, never a shorter message.
func Example() {
	request := wire.Request{Service: "reports", Method: []byte("GET"), URI: []byte("/via-roma-1")}
	frame, err := wire.Append(nil, wire.KindRequest, 7, &request, wire.DefaultMaxFrame)
	if err != nil {
		fmt.Println(err)
		return
	}
	received, err := wire.NewReader(bytes.NewReader(frame), wire.DefaultMaxFrame).Next()
	if err != nil {
		fmt.Println(err)
		return
	}
	var got wire.Request
	err = received.Decode(&got)
	fmt.Println(received.Kind == wire.KindRequest, received.ID, string(got.URI), err)
	received.Release()

	_, err = wire.NewReader(bytes.NewReader(frame[:len(frame)-1]), wire.DefaultMaxFrame).Next()
	var torn *wire.TornError
	fmt.Println(errors.As(err, &torn))
	// Output:
	// true 7 /via-roma-1 <nil>
	// true
}

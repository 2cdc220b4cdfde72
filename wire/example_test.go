package wire_test

import (
	"bytes"
	"fmt"

	"github.com/parsleystack/parsleystack/wire"
)

func Example() {
	b, err := wire.Append(nil, wire.KindRequest, 7, &wire.Request{Service: "reports", Method: []byte("GET")}, wire.DefaultMaxFrame)
	if err != nil {
		panic(err)
	}
	f, err := wire.NewReader(bytes.NewReader(b), wire.DefaultMaxFrame).Next()
	if err != nil {
		panic(err)
	}
	defer f.Release()
	var req wire.Request
	if err := f.Decode(&req); err != nil {
		panic(err)
	}
	fmt.Println(f.Kind, f.ID, req.Service, string(req.Method))
	// Output: request 7 reports GET
}

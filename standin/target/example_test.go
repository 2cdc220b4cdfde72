package target_test

import (
	"context"
	"fmt"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/standin/target"
)

// The target records the requests that it ran, so that a test can detect
// duplicate executions.
func Example() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	t := target.New(target.Config{Name: "bookings-1", Service: "bookings", Unfenced: true})
	go func() { _ = t.Serve(listener) }()
	defer func() { _ = t.Shutdown(context.Background()) }()

	status, _, err := fasthttp.Post(nil, "http://"+listener.Addr().String()+"/k1/visits", nil)
	fmt.Println(status, err)
	for _, run := range t.Runs() {
		fmt.Println(run.Method, run.Path, run.Mutating())
	}
	// Output:
	// 200 <nil>
	// POST /k1/visits true
}

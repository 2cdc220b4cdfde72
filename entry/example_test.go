package entry_test

import (
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/entry"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/route"
	"github.com/parsleystack/parsleystack/transport"
	"github.com/parsleystack/parsleystack/wire"
)

// A daemon without configuration responds that the request was not run and when
// to retry it.
func Example() {
	node := ident.Node{Instance: "reports-1", Incarnation: 1}
	pool := transport.NewPool(transport.Config{Hello: wire.NewHello("reports", node, "lombardy-a")})
	defer pool.Close()
	gateway := entry.New(entry.Config{Self: node, Zone: "lombardy-a", Router: route.NewRouter(), Pool: pool})

	addr, stop := serveExample(gateway)
	defer stop()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + addr + "/reports/via-roma-1")
	if err := fasthttp.Do(req, resp); err != nil {
		panic(err)
	}
	h := &resp.Header
	fmt.Println(resp.StatusCode(), string(h.Peek(entry.HeaderOutcome)), string(h.Peek(entry.HeaderReason)), string(h.Peek("Retry-After")))
	// Output: 503 not-run not-ready 1
}

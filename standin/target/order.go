package target

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/cell"
)

// Order is the body of the grant and revoke orders.
type Order struct {
	Service string `json:"service"`
	First   string `json:"first"` // 16 hexadecimal digits
	Last    string `json:"last"`  // 16 hexadecimal digits
	Term    uint64 `json:"term"`
	Seq     uint64 `json:"seq"`
	TTLMs   int64  `json:"ttl_ms"`
}

// Token returns the fencing token of the order.
func (o Order) Token() cell.Token { return cell.Token{Term: o.Term, Seq: o.Seq} }

func (t *Target) handleOrder(ctx *fasthttp.RequestCtx, order string) {
	switch {
	case order == "grant" && ctx.IsPut():
		t.handleGrant(ctx)
	case order == "revoke" && ctx.IsPut():
		t.handleRevoke(ctx)
	case order == "drain" && ctx.IsPut():
		t.draining.Store(true)
	case order == "health" && ctx.IsGet():
		writeJSON(ctx, t.health())
	case order == "load" && ctx.IsGet():
		writeJSON(ctx, t.load())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (t *Target) handleGrant(ctx *fasthttp.RequestCtx) {
	var o Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	rng, err := parsePoints(o.First, o.Last)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	ready := time.Now().Add(milliseconds(t.control.Load().ColdGrantMs))
	if !t.fence.grant(rng, o.Token(), ready) {
		ctx.Response.Header.Set(headerRefused, string(staleToken))
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
	}
}

func (t *Target) handleRevoke(ctx *fasthttp.RequestCtx) {
	var o Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	rng, err := parsePoints(o.First, o.Last)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	t.fence.revoke(rng, o.Token())
}

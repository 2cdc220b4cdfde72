package target

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/cell"
)

// GrantRequest is the JSON body of the grant and revoke control requests.
type GrantRequest struct {
	Service string `json:"service"`
	First   string `json:"first"` // 16 hexadecimal digits
	Last    string `json:"last"`  // 16 hexadecimal digits
	Term    uint64 `json:"term"`
	Seq     uint64 `json:"seq"`
	TTLMs   int64  `json:"ttl_ms"`
}

// Token returns the fencing token of the grant.
func (g GrantRequest) Token() cell.Token { return cell.Token{Term: g.Term, Seq: g.Seq} }

func (t *Target) handleControlRequest(ctx *fasthttp.RequestCtx, name string) {
	switch {
	case name == "grant" && ctx.IsPut():
		t.handleGrant(ctx)
	case name == "revoke" && ctx.IsPut():
		t.handleRevoke(ctx)
	case name == "drain" && ctx.IsPut():
		t.draining.Store(true)
	case name == "health" && ctx.IsGet():
		writeJSON(ctx, t.health())
	case name == "load" && ctx.IsGet():
		writeJSON(ctx, t.load())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (t *Target) handleGrant(ctx *fasthttp.RequestCtx) {
	var g GrantRequest
	if err := json.Unmarshal(ctx.PostBody(), &g); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	rng, err := parsePoints(g.First, g.Last)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	ready := time.Now().Add(milliseconds(t.control.Load().ColdGrantMs))
	if !t.fence.grant(rng, g.Token(), ready) {
		ctx.Response.Header.Set(headerRefused, string(staleToken))
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
	}
}

func (t *Target) handleRevoke(ctx *fasthttp.RequestCtx) {
	var g GrantRequest
	if err := json.Unmarshal(ctx.PostBody(), &g); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	rng, err := parsePoints(g.First, g.Last)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	t.fence.revoke(rng, g.Token())
}

package link

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// Handle serves the control endpoint: PUT /control with a Control as JSON body
// replaces the cuts in force.
func (n *Network) Handle(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPut() || string(ctx.Path()) != "/control" {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	var c Control
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	n.Set(c)
}

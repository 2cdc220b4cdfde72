package target

import (
	"bufio"
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// HeaderProcess is the header of a response of /runs with the unique name of
// the process that recorded the runs.
const HeaderProcess = "Target-Process"

func (t *Target) handleRuns(ctx *fasthttp.RequestCtx) {
	from := ctx.QueryArgs().GetUintOrZero("from")
	runs := t.recorder.snapshot(from)
	mutatingOnly := ctx.QueryArgs().GetBool("mutating")
	ctx.Response.Header.Set(HeaderProcess, t.process)
	ctx.Response.Header.SetContentType("application/x-ndjson")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { _ = writeRuns(w, runs, mutatingOnly) })
}

func (t *Target) handleFaultControl(ctx *fasthttp.RequestCtx) {
	if ctx.IsPut() {
		var c Control
		if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		if err := c.Validate(); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		t.SetControl(c)
	}
	writeJSON(ctx, t.Control())
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.SetBody(body)
}

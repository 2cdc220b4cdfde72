package owner

import (
	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/httpfield"
	"github.com/parsleystack/parsleystack/target"
	"github.com/parsleystack/parsleystack/wire"
)

// buildRequest writes the forwarded request into an HTTP request. The body is
// shared with req.
func buildRequest(out *fasthttp.Request, req *wire.Request) {
	h := &out.Header
	h.SetNoDefaultContentType(true)
	h.SetMethodBytes(req.Method)
	h.SetRequestURIBytes(req.URI)
	for i := range req.Headers {
		f := &req.Headers[i]
		if !httpfield.Internal(f.Name) {
			h.AddBytesKV(f.Name, f.Value)
		}
	}
	if len(h.Host()) == 0 {
		h.SetHost(string(req.Service))
	}
	h.SetBytesV(target.HeaderRequestID, req.RequestID)
	out.SetBodyRaw(req.Body)
}

// fillAnswer refers resp to the target's answer without copying it.
func fillAnswer(resp *wire.Response, in *fasthttp.Response) {
	resp.Status = uint16(in.StatusCode())
	resp.Headers = resp.Headers[:0]
	for name, value := range in.Header.All() {
		if httpfield.HopByHop(name) || httpfield.Internal(name) || httpfield.ContentLength(name) {
			continue
		}
		if len(resp.Headers) == wire.MaxHeaders {
			break
		}
		resp.Headers = append(resp.Headers, wire.Header{Name: name, Value: value})
	}
	resp.Body = in.Body()
}

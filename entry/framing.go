package entry

import "github.com/valyala/fasthttp"

// checkFraming refuses requests whose body another server could delimit in
// another way, and methods that are not forwarded.
func checkFraming(req *fasthttp.Request) *problem {
	h := &req.Header
	if h.IsConnect() || h.IsTrace() {
		return problemMethod
	}
	if len(h.PeekAll(fasthttp.HeaderTransferEncoding)) > 0 && len(h.PeekAll(fasthttp.HeaderContentLength)) > 0 {
		return problemFraming
	}
	if len(req.Body()) > 0 && (h.IsGet() || h.IsHead()) {
		return problemFraming
	}
	return nil
}

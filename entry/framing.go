package entry

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/httphead"
)

// checkFraming refuses requests whose body another server could delimit
// differently (request smuggling), and methods that are not forwarded. fasthttp
// rejects most ambiguous requests itself, but accepts these in one of the
// possible readings.
func checkFraming(req *fasthttp.Request) *problem {
	h := &req.Header
	if h.IsConnect() || h.IsTrace() {
		return problemMethod
	}
	raw := h.RawHeaders()
	if httphead.RequestFields(h) != nil {
		return problemMalformed
	}
	if hasField(raw, fasthttp.HeaderTransferEncoding) && hasField(raw, fasthttp.HeaderContentLength) {
		return problemFraming
	}
	if len(req.Body()) > 0 && (h.IsGet() || h.IsHead()) {
		return problemFraming
	}
	return nil
}

// hasField reports whether raw has a header field of the given name.
func hasField(raw []byte, name string) bool {
	for line := range bytes.SplitSeq(raw, []byte{'\n'}) {
		field, _, ok := bytes.Cut(line, []byte{':'})
		if ok && bytes.EqualFold(bytes.TrimSpace(field), []byte(name)) {
			return true
		}
	}
	return false
}

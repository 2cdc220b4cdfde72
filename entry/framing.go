package entry

import (
	"bytes"

	"github.com/valyala/fasthttp"
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
	if hasFoldedField(raw) {
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

// hasFoldedField reports whether raw has a header field that is folded over
// several lines (obs-fold).
func hasFoldedField(raw []byte) bool {
	return bytes.Contains(raw, []byte("\n ")) || bytes.Contains(raw, []byte("\n\t"))
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

package entry

import (
	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/outcome"
)

// problem is the response to a request that the gateway refuses without
// forwarding it.
type problem struct {
	status  int
	reason  outcome.Reason
	message string // what is wrong and how the caller can correct it
}

var (
	problemMalformed      = &problem{fasthttp.StatusBadRequest, outcome.BadRequest, "the request is malformed; send a well-formed HTTP/1.1 request"}
	problemTimeout        = &problem{fasthttp.StatusRequestTimeout, outcome.BadRequest, "the request did not arrive in time; send it faster or in smaller parts"}
	problemCutShort       = &problem{fasthttp.StatusServiceUnavailable, outcome.ConnectionLost, "the connection ended before the request was complete; send it again"}
	problemHeaderTooLarge = &problem{fasthttp.StatusRequestHeaderFieldsTooLarge, outcome.BadRequest, "the header is too large; send fewer or shorter fields"}
	problemBodyTooLarge   = &problem{fasthttp.StatusRequestEntityTooLarge, outcome.BadRequest, "the body is too large; send a smaller one"}
	problemFraming        = &problem{fasthttp.StatusBadRequest, outcome.BadRequest, "the length of the body is ambiguous; send either one Content-Length or chunks"}
	problemMethod         = &problem{fasthttp.StatusBadRequest, outcome.BadRequest, "the method is not forwarded; use another one"}
	problemPath           = &problem{fasthttp.StatusBadRequest, outcome.BadRequest, "the path is not in normal form; send /<service>/... without dot segments, backslashes, spaces or fragments"}
	problemUnknownService = &problem{fasthttp.StatusNotFound, outcome.UnknownService, "the service does not exist; check the first path segment"}
	problemNotReady       = &problem{fasthttp.StatusServiceUnavailable, outcome.NotReady, "this daemon does not have the newest configuration yet; retry later or at another daemon"}
	problemIdempotencyKey = &problem{fasthttp.StatusBadRequest, outcome.BadRequest, "Idempotency-Key is given more than once or too long; send it once, with at most 255 bytes"}
)

func problemKey(err error) *problem {
	return &problem{fasthttp.StatusBadRequest, outcome.BadRequest, err.Error()}
}

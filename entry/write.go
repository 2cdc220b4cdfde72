package entry

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/outcome"
)

// Header names in responses to callers.
const (
	HeaderOutcome = "Parsley-Outcome"
	HeaderReason  = "Parsley-Reason"
	// HeaderRetryAfterMS is the value of Retry-After in milliseconds; Retry-After
	// itself is rounded up to seconds.
	HeaderRetryAfterMS = "Parsley-Retry-After-Ms"
)

// write writes the response for the result to the caller.
func (r *activeRequest) write(result outcome.Result) {
	if result.Kind != outcome.Done {
		writeResult(r.http, statusOf(result), result, messageOf(result))
		return
	}
	out := &r.http.Response
	out.SetStatusCode(int(r.resp.Status))
	for i := range r.resp.Headers {
		out.Header.AddBytesKV(r.resp.Headers[i].Name, r.resp.Headers[i].Value)
	}
	out.Header.Set(HeaderOutcome, outcome.Done.String())
	out.SetBody(r.resp.Body)
}

func writeProblem(ctx *fasthttp.RequestCtx, p *problem) {
	result := outcome.Result{Kind: outcome.NotRun, Reason: p.reason}
	if p.status == fasthttp.StatusServiceUnavailable {
		result.RetryAfter = time.Second
	}
	writeResult(ctx, p.status, result, p.message)
}

func writeResult(ctx *fasthttp.RequestCtx, status int, r outcome.Result, message string) {
	h := &ctx.Response.Header
	ctx.SetStatusCode(status)
	h.Set(HeaderOutcome, r.Kind.String())
	h.Set(HeaderReason, r.Reason.String())
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		h.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
		h.Set(HeaderRetryAfterMS, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(appendRefusal(nil, r, message))
}

// appendRefusal appends the JSON body of a response that is not Done.
func appendRefusal(dst []byte, r outcome.Result, message string) []byte {
	dst = append(dst, `{"outcome":`...)
	dst = strconv.AppendQuote(dst, r.Kind.String())
	dst = append(dst, `,"reason":`...)
	dst = strconv.AppendQuote(dst, r.Reason.String())
	dst = append(dst, `,"retry_after_ms":`...)
	dst = strconv.AppendInt(dst, r.RetryAfter.Milliseconds(), 10)
	dst = append(dst, `,"message":`...)
	dst = strconv.AppendQuoteToASCII(dst, message)
	return append(dst, "}\n"...)
}

// statusOf maps an outcome that is not Done to an HTTP status.
func statusOf(r outcome.Result) int {
	if r.Kind == outcome.Unknown {
		return statusOfUnknown(r.Reason)
	}
	switch r.Reason {
	case outcome.Overloaded, outcome.TargetShed:
		return fasthttp.StatusTooManyRequests
	case outcome.UnknownService:
		return fasthttp.StatusNotFound
	case outcome.BadRequest:
		return fasthttp.StatusBadRequest
	}
	return fasthttp.StatusServiceUnavailable
}

func statusOfUnknown(reason outcome.Reason) int {
	switch reason {
	case outcome.DeadlineExceeded:
		return fasthttp.StatusGatewayTimeout
	case outcome.Duplicate:
		return fasthttp.StatusConflict
	}
	return fasthttp.StatusBadGateway
}

func messageOf(r outcome.Result) string {
	if r.Reason == outcome.Duplicate {
		return "an earlier request with this Idempotency-Key is in flight or of unknown outcome; check its effect before using a new key"
	}
	if r.Kind == outcome.Unknown {
		return "the request may have run; check its effect, or repeat it with the same Idempotency-Key"
	}
	if r.RetryAfter > 0 {
		return "the request was not run; repeat it after the time given"
	}
	return "the request was not run"
}

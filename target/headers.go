package target

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/outcome"
)

// Header names of the protocol between daemon and target.
const (
	HeaderToken     = "Parsley-Token"
	HeaderRange     = "Parsley-Range"
	HeaderTimeout   = "Parsley-Timeout-Ms"
	HeaderRequestID = "Parsley-Request-Id"
	HeaderRefused   = "Parsley-Refused"
)

// Values of HeaderRefused.
const (
	refusedStaleToken = "stale-token"
	refusedShed       = "shed"
	refusedDraining   = "draining"
	refusedCold       = "cold"
)

const hexDigits = "0123456789abcdef"

func formatPoint(p keyspace.Point) string { return fmt.Sprintf("%016x", uint64(p)) }

func appendPoint(dst []byte, p keyspace.Point) []byte {
	for shift := 60; shift >= 0; shift -= 4 {
		dst = append(dst, hexDigits[uint64(p)>>shift&0xf])
	}
	return dst
}

// SetGrant sets the header fields for the fencing token, the range and the time left
// to the deadline. The time is rounded down to milliseconds, and at least 1 ms.
func SetGrant(h *fasthttp.RequestHeader, g cell.Grant, left time.Duration) {
	var scratch [48]byte
	b := strconv.AppendUint(scratch[:0], g.Token.Term, 10)
	b = strconv.AppendUint(append(b, '.'), g.Token.Seq, 10)
	h.SetBytesV(HeaderToken, b)
	b = appendPoint(scratch[:0], g.Range.First)
	b = appendPoint(append(b, '-'), g.Range.Last)
	h.SetBytesV(HeaderRange, b)
	b = strconv.AppendInt(scratch[:0], max(left.Milliseconds(), 1), 10)
	h.SetBytesV(HeaderTimeout, b)
}

// Refusal returns the outcome of a request that the target refused without running
// it. It returns false for any other response, which means that the request ran.
func Refusal(resp *fasthttp.Response) (outcome.Result, bool) {
	refused := resp.Header.Peek(HeaderRefused)
	if len(refused) == 0 {
		return outcome.Result{}, false
	}
	r := outcome.Result{Kind: outcome.NotRun, RetryAfter: retryAfter(resp)}
	switch status := resp.StatusCode(); {
	case status == fasthttp.StatusPreconditionFailed && string(refused) == refusedStaleToken:
		r.Reason = outcome.WrongOwner
	case status == fasthttp.StatusServiceUnavailable && string(refused) == refusedDraining:
		r.Reason = outcome.Draining
	case status == fasthttp.StatusServiceUnavailable && (string(refused) == refusedShed || string(refused) == refusedCold):
		r.Reason = outcome.TargetShed
	default:
		return outcome.Result{}, false
	}
	return r, true
}

// retryAfter returns the value of the Retry-After field in seconds. It returns 0 if
// the field is absent, not a number of seconds, or above one hour (3600).
func retryAfter(resp *fasthttp.Response) time.Duration {
	seconds, err := strconv.Atoi(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)))
	if err != nil || seconds < 0 || seconds > 3600 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

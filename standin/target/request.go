package target

import (
	"bytes"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	headerToken     = "Parsley-Token"
	headerRange     = "Parsley-Range"
	headerTimeout   = "Parsley-Timeout-Ms"
	headerRequestID = "Parsley-Request-Id"
	headerRefused   = "Parsley-Refused"

	headerCallerID       = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"

	// pollInterval is the time between checks for a closed connection.
	pollInterval = 2 * time.Millisecond
)

// request is a request in progress.
type request struct {
	run      Run
	conn     *conn     // nil if the target cannot detect that the peer closes the connection
	deadline time.Time // zero if there is none
}

func newRequest(ctx *fasthttp.RequestCtx, config *Config) *request {
	r := &request{run: newRun(ctx, config)}
	if c, ok := ctx.Conn().(*conn); ok {
		r.conn = c
	}
	if v := ctx.Request.Header.Peek(headerTimeout); len(v) > 0 {
		if ms, err := fasthttp.ParseUint(v); err == nil {
			r.deadline = time.Now().Add(milliseconds(int64(ms)))
		}
	}
	return r
}

func newRun(ctx *fasthttp.RequestCtx, config *Config) Run {
	h := &ctx.Request.Header
	run := Run{
		ID:             string(h.Peek(headerCallerID)),
		IdempotencyKey: string(h.Peek(headerIdempotencyKey)),
		Method:         string(ctx.Method()),
		Token:          string(h.Peek(headerToken)),
		Target:         config.Name,
	}
	run.Service, run.Path = splitPath(ctx.Path(), config.Service)
	run.Key = keyFromPath(run.Path)
	if run.ID == "" {
		run.ID = string(h.Peek(headerRequestID))
	}
	return run
}

// splitPath splits a path into the service and the path below the service's
// prefix. A daemon removes the prefix, so a path that does not start with the
// configured service is returned unchanged. If no service is configured, the
// first segment is the service.
func splitPath(path []byte, configured string) (service, rest string) {
	first, below, _ := bytes.Cut(bytes.TrimPrefix(path, []byte{'/'}), []byte{'/'})
	if configured != "" && string(first) != configured {
		return configured, string(path)
	}
	return string(first), "/" + string(below)
}

// keyFromPath returns the first segment of a path below the service's prefix.
func keyFromPath(path string) string {
	key, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return key
}

// interruption is the reason for which a request ended early.
type interruption int

const (
	notInterrupted interruption = iota
	interruptedByPeer
	interruptedByDeadline
)

// interrupted reports whether the deadline has passed or the peer has closed
// the connection.
func (r *request) interrupted() interruption {
	if !r.deadline.IsZero() && !time.Now().Before(r.deadline) {
		return interruptedByDeadline
	}
	if r.abandoned() {
		return interruptedByPeer
	}
	return notInterrupted
}

// abandoned reports whether the peer has closed the connection.
func (r *request) abandoned() bool { return r.conn != nil && r.conn.peerClosed() }

// simulateWork blocks for d unless the request is interrupted.
func (r *request) simulateWork(d time.Duration) interruption {
	end := time.Now().Add(d)
	for {
		rest := time.Until(end)
		if rest <= 0 {
			return notInterrupted
		}
		time.Sleep(min(rest, pollInterval))
		if i := r.interrupted(); i != notInterrupted {
			return i
		}
	}
}

// acquire waits for a slot unless the request is interrupted.
func (r *request) acquire(slots chan struct{}) interruption {
	select {
	case slots <- struct{}{}:
		return notInterrupted
	default:
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case slots <- struct{}{}:
			return notInterrupted
		case <-ticker.C:
			if i := r.interrupted(); i != notInterrupted {
				return i
			}
		}
	}
}

// closeConnection closes the connection after writing partial, without a
// complete response.
func closeConnection(ctx *fasthttp.RequestCtx, partial []byte) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _, _ = c.Write(partial) })
}

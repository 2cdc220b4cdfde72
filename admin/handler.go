package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/ident"
)

// Paths of the interface.
const (
	PathStatus      = "/v1/status"
	PathExplain     = "/v1/explain"
	PathDrain       = "/v1/drain"
	PathConfirmLoss = "/v1/confirm-loss"
	PathRelease     = "/v1/release"
)

// Handler serves a Backend over HTTP. It is safe for concurrent use.
type Handler struct {
	backend   Backend
	operators []string
	// Refused is called for each operator command that is refused. It may be
	// nil, and must be set before the handler serves.
	Refused func(path, remote string, e *Error)
}

// NewHandler returns a Handler of backend. With mutual TLS, operators lists the
// common names of the certificates that may issue operator commands; if it is
// empty, every verified certificate may.
func NewHandler(backend Backend, operators ...string) *Handler {
	return &Handler{backend: backend, operators: operators}
}

// Serve handles the request if its path belongs to the interface. It reports
// whether it does, so that a daemon can serve other paths itself.
func (h *Handler) Serve(ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Path()) {
	case PathStatus:
		h.respond(ctx, fasthttp.MethodGet, h.status)
	case PathExplain:
		h.respond(ctx, fasthttp.MethodGet, h.explain)
	case PathDrain:
		h.respond(ctx, fasthttp.MethodPost, h.drain)
	case PathConfirmLoss:
		h.respond(ctx, fasthttp.MethodPost, h.confirmLoss)
	case PathRelease:
		h.respond(ctx, fasthttp.MethodPost, h.release)
	default:
		return false
	}
	return true
}

type operation func(ctx context.Context, req *fasthttp.RequestCtx) (any, error)

func (h *Handler) respond(ctx *fasthttp.RequestCtx, method string, op operation) {
	if string(ctx.Method()) != method {
		writeError(ctx, &Error{
			Status:  fasthttp.StatusMethodNotAllowed,
			Problem: fmt.Sprintf("%s does not accept %s", ctx.Path(), ctx.Method()),
			Remedy:  "use " + method,
		})
		return
	}
	body, err := op(ctx, ctx)
	if err != nil {
		refusal := asError(err)
		if h.Refused != nil && method == fasthttp.MethodPost {
			h.Refused(string(ctx.Path()), ctx.RemoteAddr().String(), refusal)
		}
		writeError(ctx, refusal)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, body)
}

func (h *Handler) status(ctx context.Context, _ *fasthttp.RequestCtx) (any, error) {
	return h.backend.Status(ctx)
}

func (h *Handler) explain(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
	svc := ident.Service(req.QueryArgs().Peek("service"))
	key := string(req.QueryArgs().Peek("key"))
	if svc == "" {
		return nil, badRequest("the parameter service is missing", "set it to the service that the key belongs to")
	}
	return h.backend.Explain(ctx, svc, key)
}

func (h *Handler) drain(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
	var command DrainRequest
	if err := readJSON(req, &command); err != nil {
		return nil, err
	}
	if err := h.authorize(req, &command.Operator); err != nil {
		return nil, err
	}
	return h.backend.Drain(ctx, &command)
}

func (h *Handler) confirmLoss(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
	var command ConfirmLossRequest
	if err := readJSON(req, &command); err != nil {
		return nil, err
	}
	if err := h.authorize(req, &command.Operator); err != nil {
		return nil, err
	}
	if command.Instance == "" || command.Incarnation == 0 {
		return nil, badRequest("the instance or its incarnation is missing", "set both as shown by parsley status, such as reports-1#1700000000000000000")
	}
	return h.backend.ConfirmLoss(ctx, &command)
}

func (h *Handler) release(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
	var command ReleaseRequest
	if err := readJSON(req, &command); err != nil {
		return nil, err
	}
	if err := h.authorize(req, &command.Operator); err != nil {
		return nil, err
	}
	if command.Fingerprint == "" {
		return nil, badRequest("the fingerprint is missing", "set it as shown by parsley status")
	}
	return h.backend.Release(ctx, &command)
}

func badRequest(problem, remedy string) *Error {
	return &Error{Status: fasthttp.StatusBadRequest, Problem: problem, Remedy: remedy}
}

func readJSON(req *fasthttp.RequestCtx, out any) error {
	if err := json.Unmarshal(req.PostBody(), out); err != nil {
		return badRequest("the body is not valid JSON for this path: "+err.Error(), "use the parsley command of the same version")
	}
	return nil
}

func asError(err error) *Error {
	var refusal *Error
	if !errors.As(err, &refusal) {
		return &Error{Status: fasthttp.StatusInternalServerError, Problem: err.Error(), Remedy: "see the daemon's log"}
	}
	if refusal.Status < fasthttp.StatusBadRequest {
		copied := *refusal
		copied.Status = fasthttp.StatusConflict
		return &copied
	}
	return refusal
}

func writeError(ctx *fasthttp.RequestCtx, e *Error) { writeJSON(ctx, e.Status, e) }

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

package admin

import (
	"fmt"
	"slices"

	"github.com/valyala/fasthttp"
)

// authorize checks that the caller may give orders. With mutual TLS the
// operator is who the client's certificate names, whatever the order says.
func (h *Handler) authorize(req *fasthttp.RequestCtx, operator *string) error {
	state := req.TLSConnectionState()
	if state != nil && len(state.VerifiedChains) > 0 {
		*operator = state.VerifiedChains[0][0].Subject.CommonName
		return h.allow(*operator)
	}
	if len(h.operators) > 0 {
		return forbidden("the order came without a client certificate", "name your certificate, with --cert, --key-file and --ca on the command line")
	}
	if *operator == "" {
		return badRequest("the order names no operator", "name yourself, with --operator on the command line")
	}
	return nil
}

func (h *Handler) allow(operator string) error {
	if len(h.operators) == 0 || slices.Contains(h.operators, operator) {
		return nil
	}
	return forbidden(fmt.Sprintf("%q may not give orders to this daemon", operator), "use the certificate of an operator that the daemon's tls.operators names")
}

func forbidden(problem, remedy string) *Error {
	return &Error{Status: fasthttp.StatusForbidden, Problem: problem, Remedy: remedy}
}

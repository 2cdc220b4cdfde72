package admin

import (
	"fmt"
	"slices"

	"github.com/valyala/fasthttp"
)

// authorize checks that the caller may issue operator commands. With mutual TLS
// it sets operator to the common name of the client's certificate, whatever the
// request contains.
func (h *Handler) authorize(req *fasthttp.RequestCtx, operator *string) error {
	state := req.TLSConnectionState()
	if state != nil && len(state.VerifiedChains) > 0 {
		*operator = state.VerifiedChains[0][0].Subject.CommonName
		return h.allow(*operator)
	}
	if len(h.operators) > 0 {
		return forbidden("the command was sent without a client certificate", "set your certificate with --cert, --key-file and --ca on the command line")
	}
	if *operator == "" {
		return badRequest("the command names no operator", "set your name with --operator on the command line")
	}
	return nil
}

func (h *Handler) allow(operator string) error {
	if len(h.operators) == 0 || slices.Contains(h.operators, operator) {
		return nil
	}
	return forbidden(fmt.Sprintf("%q may not issue commands to this daemon", operator), "use the certificate of an operator listed in the daemon's tls.operators")
}

func forbidden(problem, remedy string) *Error {
	return &Error{Status: fasthttp.StatusForbidden, Problem: problem, Remedy: remedy}
}

package bench

import "github.com/parsleystack/parsleystack/outcome"

// Class is what a caller knows of a request at its end.
type Class struct {
	Kind   outcome.Kind
	Reason string // Parsley-Reason or Parsley-Refused, or the client's own reason
}

// Reasons of the client itself.
const (
	reasonConnect  = "client-connect"  // no connection; nothing was sent
	reasonTimeout  = "client-timeout"  // no answer in time
	reasonLost     = "client-lost"     // the connection ended before the whole answer
	reasonStatus   = "status"          // an answer that is neither 2xx nor a refusal
	reasonNoHeader = "missing-outcome" // an answer of a daemon without Parsley-Outcome
	reasonUnsent   = "unsent"          // the tool had too many requests in flight
)

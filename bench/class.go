package bench

import "github.com/parsleystack/parsleystack/outcome"

// Class is the outcome of a request as its caller sees it.
type Class struct {
	Kind   outcome.Kind
	Reason string // Parsley-Reason or Parsley-Refused, or the client's own reason
}

// Reasons that the client sets itself.
const (
	reasonConnect  = "client-connect"  // no connection; nothing was sent
	reasonTimeout  = "client-timeout"  // no response within the timeout and responseGrace
	reasonLost     = "client-lost"     // the connection closed before the response was complete
	reasonStatus   = "status"          // prefix; the response is neither 2xx nor a refusal
	reasonNoHeader = "missing-outcome" // a daemon's response has no Parsley-Outcome header
	reasonUnsent   = "unsent"          // not sent, since MaxInFlight was reached
)

package admin

import "github.com/parsleystack/parsleystack/ident"

// DrainRequest is the command to start the planned stop of a daemon.
type DrainRequest struct {
	// Operator is the name of the operator. With mutual TLS the daemon uses the
	// common name of the client's certificate instead.
	Operator string `json:"operator"`
	Reason   string `json:"reason"`
}

// DrainResponse reports that the planned stop has started. Its progress is in
// Status.
type DrainResponse struct {
	Instance ident.Instance `json:"instance"`
	Already  bool           `json:"already"` // the planned stop was already in progress
}

// ConfirmLossRequest is the command to confirm that a process has failed and will
// not return.
type ConfirmLossRequest struct {
	Operator    string            `json:"operator"`
	Reason      string            `json:"reason"`
	Service     ident.Service     `json:"service"`
	Instance    ident.Instance    `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation,string"`
}

// ConfirmLossResponse reports that the confirmation was passed to the cell.
type ConfirmLossResponse struct {
	Node string `json:"node"` // instance#incarnation
}

// ReleaseRequest is the command to end the quarantine of requests that have crashed
// targets.
type ReleaseRequest struct {
	Operator    string `json:"operator"`
	Reason      string `json:"reason"`
	Fingerprint string `json:"fingerprint"` // of the requests, as status shows it
}

// ReleaseResponse reports that the requests are sent to targets again.
type ReleaseResponse struct {
	Fingerprint string `json:"fingerprint"`
}

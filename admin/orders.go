package admin

import "github.com/parsleystack/parsleystack/ident"

// DrainRequest asks a daemon for the planned stop of its target.
type DrainRequest struct {
	// Operator is who gives the order. With mutual TLS the daemon takes the
	// common name of the client's certificate instead.
	Operator string `json:"operator"`
	Reason   string `json:"reason"`
}

// DrainAnswer reports a planned stop that has begun. Its progress shows in
// Status.
type DrainAnswer struct {
	Instance ident.Instance `json:"instance"`
	Already  bool           `json:"already"` // the planned stop had begun before
}

// ConfirmLossRequest confirms that a process is gone and will not return.
type ConfirmLossRequest struct {
	Operator    string            `json:"operator"`
	Reason      string            `json:"reason"`
	Service     ident.Service     `json:"service"`
	Instance    ident.Instance    `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation,string"`
}

// ConfirmLossAnswer reports that the confirmation was handed to the cell.
type ConfirmLossAnswer struct {
	Node string `json:"node"` // instance#incarnation
}

package faultreport

// UnreachableNode is a daemon that did not respond to the status request.
type UnreachableNode struct {
	Addr  string `json:"address"`
	Error string `json:"error"`
}

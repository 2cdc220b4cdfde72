package faultreport

// UnreachableNode is a daemon that did not answer.
type UnreachableNode struct {
	Addr  string `json:"address"`
	Error string `json:"error"`
}

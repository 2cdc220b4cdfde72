package wire

//msgp:tuple Call Reply

// CallKind is the operation that a Call requests. The package that handles the
// calls defines the values.
type CallKind uint8

// Call is a request between daemons that does not carry a caller's request.
type Call struct {
	Kind CallKind `msg:"k"`
	Body []byte   `msg:"b"`
}

// Reply answers a Call. Error is empty if the call succeeded.
type Reply struct {
	Error string `msg:"e"`
	Body  []byte `msg:"b"`
}

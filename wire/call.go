package wire

//msgp:tuple Call Reply

// CallKind says what a Call asks for. Its values belong to the daemon that
// serves the calls.
type CallKind uint8

// Call is a question of one daemon to another that is not a caller's request.
type Call struct {
	Kind CallKind `msg:"k"`
	Body []byte   `msg:"b"`
}

// Reply answers a Call. Error is empty if the call succeeded.
type Reply struct {
	Error string `msg:"e"`
	Body  []byte `msg:"b"`
}

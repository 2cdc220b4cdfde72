package sidecar

//msgp:tuple relayCall relayAnswer

import "time"

// relayCall is the request to another daemon to make one call to the store.
type relayCall struct {
	Method string        `msg:"m"`
	URI    string        `msg:"u"`
	Body   []byte        `msg:"b"`
	Wait   time.Duration `msg:"w"`
}

// relayAnswer is the answer to a relayCall.
type relayAnswer struct {
	Status int    `msg:"s"`
	Body   []byte `msg:"b"`
	// NotSent is set if the daemon did not make the call.
	NotSent bool `msg:"n"`
}

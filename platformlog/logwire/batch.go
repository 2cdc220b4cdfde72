// Package logwire defines the messages, paths and parameters of the log
// service's HTTP protocol, which docs/LOG-PROTOCOL.md describes. The client
// and the stand-in server share it.
package logwire

//msgp:tuple Record Batch

// Record is one record in the response to a read.
type Record struct {
	Offset  uint64 `msg:"o"`
	Time    int64  `msg:"t"` // append time, Unix nanoseconds
	Payload []byte `msg:"p"`
}

// Batch is the msgpack body of the response to a read.
type Batch struct {
	Earliest uint64   `msg:"e"`
	Next     uint64   `msg:"n"`
	Records  []Record `msg:"r"`
}

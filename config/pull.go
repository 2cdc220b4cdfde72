package config

//msgp:limit arrays:65536 maps:16
//msgp:tuple Pull PullAnswer RawRecord
//msgp:replace platformlog.Offset with:uint64

import "github.com/parsleystack/parsleystack/platformlog"

// Pull is a request for the configuration from an offset on, sent to a peer.
type Pull struct {
	From platformlog.Offset `msg:"f"`
}

// PullAnswer is the answer to a Pull: the records from Pull.From on if the
// answering daemon still has them in memory, otherwise its whole state.
type PullAnswer struct {
	Ready   bool        `msg:"r"` // the answering daemon has reached the end of the stream since it started
	Records []RawRecord `msg:"c"`
	State   *Snapshot   `msg:"s"` // nil if Records is complete
}

// RawRecord is a record of the log with its payload still encoded.
type RawRecord struct {
	Offset  platformlog.Offset `msg:"o"`
	Time    int64              `msg:"t"` // append time, Unix nanoseconds
	Payload []byte             `msg:"p"`
}

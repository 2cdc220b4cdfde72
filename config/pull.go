package config

//msgp:limit arrays:65536 maps:16
//msgp:tuple Pull PullAnswer RawRecord
//msgp:replace platformlog.Offset with:uint64

import "github.com/parsleystack/parsleystack/platformlog"

// Pull asks another daemon for the configuration from an offset on.
type Pull struct {
	From platformlog.Offset `msg:"f"`
}

// PullAnswer is the answer to a Pull: the records from Pull.From on if the
// daemon still has them, its whole state otherwise.
type PullAnswer struct {
	Ready   bool        `msg:"r"` // the daemon has reached the end of the stream since it started
	Records []RawRecord `msg:"c"`
	State   *Snapshot   `msg:"s"` // nil if Records holds all that is new
}

// RawRecord is a record as the log holds it.
type RawRecord struct {
	Offset  platformlog.Offset `msg:"o"`
	Time    int64              `msg:"t"` // append time, Unix nanoseconds
	Payload []byte             `msg:"p"`
}

// Package target is a stand-in for a target: a server behind a daemon that
// implements docs/TARGET-PROTOCOL.md, with the limits and faults of real
// targets and a record of every request that it ran.
package target

import (
	"io"
	"time"
)

// Record modes of Config.
const (
	RecordAll      = "all"      // every request
	RecordMutating = "mutating" // requests other than GET and HEAD
	RecordNone     = "none"
)

const (
	defaultSlots       = 20
	defaultConns       = 130
	defaultRecordLimit = 4 << 20
)

// Config configures a Target. Zero values of fields with a default are replaced by
// it.
type Config struct {
	Name        string        // name in responses and records
	Service     string        // name of the service; if empty, it is the first path segment of each request
	Slots       int           // most requests in progress at once; default 20
	Conns       int           // most open connections; default 130
	ConnCost    time.Duration // delay before the first read of a new connection
	ServiceTime time.Duration // mean processing time of a request
	Dist        Distribution  // distribution of the service time; default constant
	ColdStart   time.Duration // time after the start during which requests are rejected
	Unfenced    bool          // ignore tokens and grants
	Shed        bool          // reject requests instead of queueing them if no slot is available
	BodyBytes   int           // size of the padding of each response
	Record      string        // record mode; default RecordAll
	RecordLimit int           // most requests that are recorded; default 4 Mi
	Journal     io.Writer     // if set, receives every run as a line of JSON at its start and at its end
	Seed        uint64        // seed of service times and faults
}

func (c Config) withDefaults() Config {
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.Conns == 0 {
		c.Conns = defaultConns
	}
	if c.Dist == "" {
		c.Dist = Constant
	}
	if c.Record == "" {
		c.Record = RecordAll
	}
	if c.RecordLimit == 0 {
		c.RecordLimit = defaultRecordLimit
	}
	return c
}

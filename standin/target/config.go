// Package target is a stand-in of a target: a server behind a daemon that
// speaks docs/TARGET-PROTOCOL.md, with the limits and faults of real ones and
// a record of every request that it ran.
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

// Config holds the fixed parameters of a Target.
type Config struct {
	Name        string        // name in answers and records
	Service     string        // service that is served; if empty, the first path segment names it
	Slots       int           // requests at work at once; default 20
	Conns       int           // open connections; default 130
	ConnCost    time.Duration // time before the first request of a new connection is read
	ServiceTime time.Duration // mean time of one request's work
	Dist        Distribution  // distribution of the service time; default constant
	ColdStart   time.Duration // time after the start for which requests are refused
	Unfenced    bool          // ignores tokens and grants
	Shed        bool          // refuses at full slots in place of waiting
	BodyBytes   int           // padding of each answer
	Record      string        // record mode; default RecordAll
	RecordLimit int           // most recorded requests; default 4 Mi
	Journal     io.Writer     // takes every run as a line of JSON at its start and at its end; may be nil
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

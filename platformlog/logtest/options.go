// Package logtest provides an in-memory log service with the limits and
// faults of the platform's, for tests, and an HTTP server over it.
package logtest

import "time"

const (
	defaultLongPoll = 5 * time.Second

	// appendBurst is the time for which appends may exceed the cap.
	appendBurst = 250 * time.Millisecond
)

// Options holds the fixed parameters of a Log. The zero value keeps records
// for ever, takes any number of appends and has no faults.
type Options struct {
	Retention  time.Duration // records older than this expire; 0 keeps them
	MaxRecords int           // records kept of one stream; 0 keeps all
	AppendRate float64       // appends a second over all streams; 0 is no limit
	LongPoll   time.Duration // longest wait of a read; default 5 s
	Seed       uint64        // seed of the random faults

	// Now replaces time.Now if set. A read that waits is woken by appends and
	// by real time only; after a change of a test's own clock call Log.Wake.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	if o.LongPoll == 0 {
		o.LongPoll = defaultLongPoll
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

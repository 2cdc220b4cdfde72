// Package logtest provides an in-memory log service for tests, with the limits
// and faults of the platform's log service, and an HTTP server for it.
package logtest

import "time"

const (
	defaultLongPoll = 5 * time.Second

	// appendBurst is the burst of the append rate limit, as the time in which
	// AppendRate permits as many appends.
	appendBurst = 250 * time.Millisecond
)

// Options configures a Log. The zero value keeps all records and does not limit
// the append rate.
type Options struct {
	Retention  time.Duration // records older than this expire; 0 keeps them
	MaxRecords int           // most records kept per stream; 0 keeps all
	AppendRate float64       // appends per second over all streams; 0 means no limit
	LongPoll   time.Duration // longest time that a read waits for a record; default 5 s
	Seed       uint64        // seed of the random faults

	// Now replaces time.Now if it is set. Only appends and real time wake a
	// waiting read; call Log.Wake after advancing a test clock.
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

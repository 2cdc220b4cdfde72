package logtest

import "errors"

var (
	// ErrOutage is the cause of calls rejected during an outage.
	ErrOutage = errors.New("the log service is down")
	// ErrAppendRate is the cause of appends rejected by the rate limit.
	ErrAppendRate = errors.New("the append rate exceeds the limit of the log service")
	// ErrPayloadSize is the cause of appends rejected because their payload is
	// too large.
	ErrPayloadSize = errors.New("the payload is too large")
	// ErrResponseLost is the cause of an UnknownOutcomeError of an append.
	ErrResponseLost = errors.New("the response was lost")
)

package logtest

import "errors"

var (
	// ErrOutage is the cause of calls refused in an outage.
	ErrOutage = errors.New("the log service is down")
	// ErrAppendRate is the cause of appends refused over the cap.
	ErrAppendRate = errors.New("the append rate is over the cap of the log service")
	// ErrPayloadSize is the cause of appends with too large a payload.
	ErrPayloadSize = errors.New("the payload is too large")
	// ErrAnswerLost is the cause of an append's unknown outcome.
	ErrAnswerLost = errors.New("the answer was lost")
)

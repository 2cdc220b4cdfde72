package coldstart

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// heartbeatDelay is the longest usual time between the sending of a heartbeat and its
// handling. One that arrives earlier than this after a connection was refused may have been
// sent by the process that has ended.
const heartbeatDelay = 250 * time.Millisecond

// Statement is what a target has stated about its cold start.
type Statement struct {
	// Source is Heartbeat or HealthCheck.
	Source Evidence
	// Stated is unset if the target does not say whether it is cold. It then counts as cold
	// for Limit.Duration.
	Stated    bool
	Remaining time.Duration // for which it stays cold
	// Sent is the earliest time at which the statement can have been made.
	Sent clock.Time
}

// HeartbeatStatement returns the statement of a heartbeat that was received at a time.
func HeartbeatStatement(stated bool, remaining time.Duration, received clock.Time) Statement {
	return Statement{Source: Heartbeat, Stated: stated, Remaining: remaining, Sent: received.Add(-heartbeatDelay)}
}

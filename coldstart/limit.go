package coldstart

import "time"

const (
	// maxBurst is the largest number of requests that may be sent at once after a pause.
	// It leaves room between the rate and the bound for requests that arrive later than
	// they were sent.
	maxBurst = 4
	// burstShare is the largest burst as a share of what the bound allows above the rate.
	burstShare = 0.5
	// windowReserve is the number of requests below the bound that are never sent. It
	// covers health checks of others and connections that the target counts as requests.
	windowReserve = 1
	// window is the second for which the bound is defined, and the longest time between a sign
	// of a target that resumes and the arrival of what it has not read yet.
	window = time.Second + 50*time.Millisecond
)

// Limit is what the operator has configured for the cold targets of a service.
type Limit struct {
	// Known is unset until the daemon has a configuration. The target may be in cold start
	// before that, so the lowest usual limit applies then.
	Known bool
	// PerSecond is the number of requests a second that a cold target tolerates. There is no
	// limit if it is 0.
	PerSecond float64
	// Overage and Slack bound the requests of any second: PerSecond * Overage + Slack.
	Overage, Slack float64
	// Duration is how long a target is cold after its start.
	Duration time.Duration
}

// unknownLimit applies before there is a configuration.
var unknownLimit = Limit{PerSecond: 5, Overage: 1.5, Slack: 8}

// Bound returns the largest number of requests that may arrive within one second.
func (l *Limit) Bound() float64 { return l.PerSecond*l.Overage + l.Slack }

// applies reports whether cold targets have a limit.
func (l *Limit) applies() bool { return l.PerSecond > 0 }

// burst returns the number of requests that may be sent at once after a pause.
func (l *Limit) burst() float64 {
	return min(max(burstShare*(l.Bound()-l.PerSecond), 1), maxBurst)
}

// maxInWindow returns the number of requests that may arrive within one second.
func (l *Limit) maxInWindow() int { return max(int(l.Bound())-windowReserve, 1) }

package hedge

// Refusal is why a request gets no copy.
type Refusal uint8

const (
	// None means that a copy may be sent.
	None Refusal = iota
	// Ineligible means that the request must not or should not run twice, whatever the state of
	// the targets: it is not idempotent, has a key, is expected to have a large response, or is
	// suspected to crash targets.
	Ineligible
	// Attempts means that the route allows no further target.
	Attempts
	// Unknown means that too few response times of the route were observed.
	Unknown
	// TimeLeft means that a copy could hardly be answered before the deadline.
	TimeLeft
	// CallerLeft means that nobody waits for the response any more.
	CallerLeft
	// Link means that the link of this instance is saturated.
	Link
	// Capacity means that no other target has free slots.
	Capacity
	// Useless means that recent copies of the route were not answered first.
	Useless
	// Limit means that the operators' limit is reached.
	Limit
	// Budget means that the retry budget of the service is exhausted.
	Budget
)

var refusalNames = [...]string{"none", "ineligible", "attempts", "unknown", "time_left", "caller_left", "link", "capacity", "useless", "limit", "budget"}

// String returns the name of the refusal in logs and metrics.
func (r Refusal) String() string { return refusalNames[r] }

package lease

// Verdict is the result of checking whether a point may be served.
type Verdict uint8

const (
	// Held means that an unexpired grant covers the point.
	Held Verdict = 1
	// NotHeld means that no grant covers the point.
	NotHeld Verdict = 2
	// Expired means that the grant that covers the point has expired.
	Expired Verdict = 3
	// Releasing means that the range is being handed over.
	Releasing Verdict = 4
)

// String returns the name of the verdict, "invalid" if it is unknown.
func (v Verdict) String() string {
	switch v {
	case Held:
		return "held"
	case NotHeld:
		return "not held"
	case Expired:
		return "expired"
	case Releasing:
		return "releasing"
	}
	return "invalid"
}

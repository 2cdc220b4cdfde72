package hedge

// maxSaved is the largest number of copies that a daemon saves for later. Slow requests come
// together, when a target stops for a moment.
const maxSaved = 5

// limit is a token bucket that is filled by requests, not by time: each adds the share that
// may get a copy. It begins empty, so that the copies never exceed the share of all requests;
// since that holds at each daemon for its own requests, it holds for the fleet.
type limit struct {
	share  float64
	tokens float64
}

func (l *limit) request() { l.tokens = min(l.tokens+l.share, max(maxSaved, l.share)) }

func (l *limit) take() bool {
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

func (l *limit) giveBack() { l.tokens++ }

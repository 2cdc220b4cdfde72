package callerhttp

import (
	"sync/atomic"

	"github.com/parsleystack/parsleystack/clock"
)

// activity is what a connection does, in ascending order of what is lost if it is closed.
type activity uint8

const (
	lingering activity = iota // the last response was written, and what still arrives is discarded
	fresh                     // no request has been read
	idle                      // between two requests
	inHead                    // in the head of a further request
	inBody                    // in its body
	busy                      // requests are in progress, or their responses are not written
	displaced                 // closed for another connection
)

var activityNames = [...]string{lingering: "lingering", fresh: "fresh", idle: "idle", inHead: "head", inBody: "body", busy: "response", displaced: "displaced"}

func (a activity) String() string { return activityNames[a] }

// activityShift is the number of bits of the time in connState.
const activityShift = 60

// connState is the activity of a connection and since when there was no progress in it. Both
// are in one word: the goroutine that closes the connection for another one and the one that
// has read a request agree which of them was first.
type connState struct{ word atomic.Uint64 }

func pack(a activity, since clock.Time) uint64 {
	return uint64(a)<<activityShift | uint64(since)
}

func unpack(word uint64) (activity, clock.Time) {
	return activity(word >> activityShift), clock.Time(word & (1<<activityShift - 1))
}

// set changes the state. It reports false if the connection is being closed for another one.
func (s *connState) set(a activity, since clock.Time) bool {
	for next := pack(a, since); ; {
		seen := s.word.Load()
		if now, _ := unpack(seen); now == displaced {
			return false
		}
		if s.word.CompareAndSwap(seen, next) {
			return true
		}
	}
}

// close changes the state to displaced. It reports false if it is not the one that was seen.
func (s *connState) close(seen uint64) bool {
	return s.word.CompareAndSwap(seen, pack(displaced, 0))
}

// isDisplaced reports whether the connection is being closed for another one.
func (s *connState) isDisplaced() bool {
	a, _ := unpack(s.word.Load())
	return a == displaced
}

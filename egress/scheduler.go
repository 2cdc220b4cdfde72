package egress

import (
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const (
	// segmentTime is how long the link takes to send one segment, and so the longest
	// wait of a small message behind a large one.
	segmentTime = 8 * time.Millisecond
	// minSegment and maxSegment bound a segment in bytes, on slow and on fast links.
	minSegment = 4 << 10
	maxSegment = 64 << 10
	// maxUnsent is the time that bytes handed to the socket may still take when the
	// next segment is handed over. It keeps the link busy although timers fire late.
	maxUnsent = 3 * time.Millisecond
)

// Segment is the next part of a transfer that waits to be sent.
type Segment struct {
	Transfer uint64 // in the order in which the transfers were queued
	Bytes    int
	Left     int        // bytes of the transfer that are not sent, with those of the segment
	Due      clock.Time // when the transfer should be sent completely; Never if there is no such time
}

// Scheduler decides when the segments of transfers are sent. It must be used by one
// goroutine at a time.
type Scheduler struct {
	bytesPerSecond float64
	idleAt         clock.Time // when the link has sent all bytes so far
	waiting        []Segment  // in ascending order of Transfer
}

// NewScheduler returns a scheduler for an idle link.
func NewScheduler(bytesPerSecond float64) *Scheduler {
	return &Scheduler{bytesPerSecond: bytesPerSecond}
}

// SegmentBytes returns the size of the segments that transfers are divided into.
func (s *Scheduler) SegmentBytes() int {
	return int(min(max(s.bytesPerSecond*segmentTime.Seconds(), minSegment), maxSegment))
}

// Sent records bytes that are sent without waiting.
func (s *Scheduler) Sent(bytes int, now clock.Time) {
	if s.idleAt.Before(now) {
		s.idleAt = now
	}
	s.idleAt = s.idleAt.Add(s.Duration(bytes))
}

// Duration returns how long the link takes to send bytes.
func (s *Scheduler) Duration(bytes int) time.Duration {
	return time.Duration(float64(bytes) / s.bytesPerSecond * float64(time.Second))
}

// Unsent returns how long the link takes to send what was handed to it.
func (s *Scheduler) Unsent(now clock.Time) time.Duration { return max(s.idleAt.Sub(now), 0) }

// Offer adds a segment. A transfer has one waiting segment at a time.
func (s *Scheduler) Offer(x Segment) {
	i, _ := slices.BinarySearchFunc(s.waiting, x, compareTransfers)
	s.waiting = slices.Insert(s.waiting, i, x)
}

// Withdraw removes the segment of a transfer if it still waits.
func (s *Scheduler) Withdraw(transfer uint64) bool {
	i, found := slices.BinarySearchFunc(s.waiting, Segment{Transfer: transfer}, compareTransfers)
	if found {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	return found
}

func compareTransfers(a, b Segment) int {
	switch {
	case a.Transfer < b.Transfer:
		return -1
	case a.Transfer > b.Transfer:
		return 1
	}
	return 0
}

// Next removes and returns the segment to send now. If none can be sent yet, it returns
// false and the time after which to ask again, which is 0 if none waits.
func (s *Scheduler) Next(now clock.Time) (next Segment, wait time.Duration, ok bool) {
	if len(s.waiting) == 0 {
		return Segment{}, 0, false
	}
	if unsent := s.Unsent(now); unsent > maxUnsent {
		return Segment{}, unsent - maxUnsent, false
	}
	i := s.first(now)
	next = s.waiting[i]
	s.waiting = slices.Delete(s.waiting, i, i+1)
	s.Sent(next.Bytes, now)
	return next, 0, true
}

// first returns the index of the segment to send: that of the first transfer which can
// be complete when it is due. Transfers that are late anyway are sent when no other
// waits, since the link would otherwise make one transfer after the other late.
func (s *Scheduler) first(now clock.Time) int {
	idle := now.Add(s.Unsent(now))
	for i := range s.waiting {
		x := &s.waiting[i]
		if x.Due == clock.Never || !x.Due.Before(idle.Add(s.Duration(x.Left))) {
			return i
		}
	}
	return 0
}

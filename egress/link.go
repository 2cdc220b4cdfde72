package egress

import (
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// usableShare is the share of a link's rate that is scheduled. The rest is for the
// headers of packets, acknowledgements and connections that are not accounted for.
const usableShare = 0.93

// Link schedules what the process sends over its instance's link. A nil Link stands for
// a link of unlimited rate. It is safe for concurrent use.
type Link struct {
	mu        sync.Mutex
	scheduler *Scheduler
	transfers uint64
	granted   map[uint64]chan struct{} // closed when the waiting segment of the transfer may be sent
	queued    int                      // bytes of transfers whose sending has not been granted
	active    int                      // transfers that have not ended
	timer     *time.Timer
}

// NewLink returns a Link of the given rate in bytes per second, or nil if the rate is
// not known.
func NewLink(bytesPerSecond float64) *Link {
	if bytesPerSecond <= 0 {
		return nil
	}
	l := &Link{scheduler: NewScheduler(usableShare * bytesPerSecond), granted: make(map[uint64]chan struct{})}
	l.timer = time.AfterFunc(time.Hour, l.advance)
	l.timer.Stop()
	return l
}

// Rate returns the bytes per second that are scheduled, or 0 for a nil Link.
func (l *Link) Rate() float64 {
	if l == nil {
		return 0
	}
	return l.scheduler.bytesPerSecond
}

// Transfers returns the number of transfers that have not ended.
func (l *Link) Transfers() int {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.active
}

// SegmentBytes returns the size of the segments that transfers are divided into.
func (l *Link) SegmentBytes() int {
	if l == nil {
		return maxSegment
	}
	return l.scheduler.SegmentBytes()
}

// Sent records bytes of small messages, which are written without waiting.
func (l *Link) Sent(bytes int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduler.Sent(bytes, clock.Now())
}

// Backlog returns how long the link takes to send all that was handed to it or queued
// for it.
func (l *Link) Backlog() time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Unsent(clock.Now()) + l.scheduler.Duration(l.queued)
}

// Duration returns how long the link takes to send bytes.
func (l *Link) Duration(bytes int) time.Duration {
	if l == nil {
		return 0
	}
	return l.scheduler.Duration(bytes)
}

// Transfer is one large message. It is used by one goroutine.
type Transfer struct {
	link   *Link
	order  uint64
	due    clock.Time
	queued int // bytes without a grant
	ended  bool
}

// Queue adds a transfer of a number of bytes. due is when it should be sent completely;
// Never if there is no such time.
func (l *Link) Queue(bytes int, due clock.Time) *Transfer {
	if l == nil {
		return &Transfer{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transfers++
	l.active++
	l.queued += bytes
	return &Transfer{link: l, order: l.transfers, due: due, queued: bytes}
}

// Await waits until the next segment of the transfer may be sent. It returns false if
// done is closed first.
func (t *Transfer) Await(bytes int, done <-chan struct{}) bool {
	if t.link == nil {
		return true
	}
	granted := t.link.offer(t, bytes)
	select {
	case <-granted:
		return true
	case <-done:
		t.link.withdraw(t)
		return false
	}
}

// End removes what is left of the transfer from the backlog, after its last segment or
// when it is given up.
func (t *Transfer) End() {
	if t.link == nil {
		return
	}
	t.link.mu.Lock()
	defer t.link.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	t.link.active--
	t.link.queued -= t.queued
	t.queued = 0
}

func (l *Link) offer(t *Transfer, bytes int) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	left := t.queued
	taken := min(bytes, left)
	l.queued -= taken
	t.queued -= taken
	granted := make(chan struct{})
	l.granted[t.order] = granted
	l.scheduler.Offer(Segment{Transfer: t.order, Bytes: bytes, Left: left, Due: t.due})
	l.advanceLocked()
	return granted
}

func (l *Link) withdraw(t *Transfer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.scheduler.Withdraw(t.order) {
		delete(l.granted, t.order)
	}
}

func (l *Link) advance() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceLocked()
}

// advanceLocked grants the segments that may be sent now and sets the timer for the
// next one.
func (l *Link) advanceLocked() {
	for {
		next, wait, ok := l.scheduler.Next(clock.Now())
		if !ok {
			if wait > 0 {
				l.timer.Reset(wait)
			}
			return
		}
		close(l.granted[next.Transfer])
		delete(l.granted, next.Transfer)
	}
}

package egress

import (
	"sync"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// Many transfers at once must all end, keep to the rate of the link and leave no backlog.
func TestLinkKeepsToItsRate(t *testing.T) {
	l := NewLink(80 * mbit)
	const transfers, size = 20, 50_000
	var queued []*Transfer
	for range transfers {
		queued = append(queued, l.Queue(size, clock.Never))
	}
	if backlog, all := l.Backlog(), l.Duration(transfers*size); backlog != all {
		t.Errorf("the backlog is %v, the transfers take %v", backlog, all)
	}
	begin := time.Now()
	var wg sync.WaitGroup
	for _, tr := range queued {
		wg.Go(func() {
			defer tr.End()
			for left := size; left > 0; left -= l.SegmentBytes() {
				if !tr.Await(min(left, l.SegmentBytes()), nil) {
					t.Error("a segment was not granted")
				}
			}
		})
	}
	wg.Wait()
	if took, least := time.Since(begin), l.Duration(transfers*size)-maxUnsent-segmentTime; took < least {
		t.Errorf("the transfers were granted within %v, the link takes %v", took, least)
	}
	time.Sleep(2 * segmentTime)
	if backlog := l.Backlog(); backlog > 0 {
		t.Errorf("a backlog of %v is left", backlog)
	}
}

// A transfer whose connection fails must give up at once, and those behind it must go on.
func TestTransferOfFailedConnectionEnds(t *testing.T) {
	l := NewLink(1 * mbit)
	l.Sent(100_000) // the link is busy for almost a second
	failed, done := l.Queue(1000, clock.Never), make(chan struct{})
	close(done)
	if failed.Await(1000, done) {
		t.Error("the segment of a failed connection was granted")
	}
	failed.End()
	next := l.Queue(1000, clock.Never)
	if !next.Await(1000, nil) {
		t.Error("the transfer behind it was not granted")
	}
	next.End()
}

// A daemon that does not know the rate of its link sends everything at once.
func TestUnknownRateIsUnlimited(t *testing.T) {
	l := NewLink(0)
	tr := l.Queue(1<<30, clock.Never)
	if !tr.Await(1<<30, nil) || l.Backlog() != 0 || l.Duration(1<<30) != 0 || l.SegmentBytes() <= 0 {
		t.Errorf("backlog %v, segment %d", l.Backlog(), l.SegmentBytes())
	}
	tr.End()
	l.Sent(1)
}

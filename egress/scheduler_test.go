package egress

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const (
	start = clock.Time(time.Hour)
	mbit  = 1e6 / 8 // bytes per second
)

func Example() {
	s := NewScheduler(10 * mbit)
	s.Offer(Segment{Transfer: 1, Bytes: 10_000})
	_, _, first := s.Next(start)
	s.Offer(Segment{Transfer: 1, Bytes: 10_000})
	_, wait, second := s.Next(start)
	fmt.Println(first, second, wait)
	// Output: true false 5ms
}

// download is a transfer of the replays below.
type download struct {
	transfer uint64
	left     int
	due      clock.Time
	offered  bool
	done     clock.Time
}

// replay sends the downloads over a link until all are sent. Every 5 ms a small message
// is sent. It returns the longest wait of a small message for the link.
func replay(s *Scheduler, downloads []*download, small int) time.Duration {
	longest := time.Duration(0)
	for now := start; ; now = now.Add(time.Millisecond) {
		if now.Sub(start)%(5*time.Millisecond) == 0 {
			longest = max(longest, s.Unsent(now))
			s.Sent(small, now)
		}
		left := false
		for _, d := range downloads {
			if d.left > 0 && !d.offered {
				s.Offer(Segment{Transfer: d.transfer, Bytes: min(d.left, s.SegmentBytes()), Left: d.left, Due: d.due})
				d.offered = true
			}
			left = left || d.left > 0
		}
		if !left {
			return longest
		}
		for next, _, ok := s.Next(now); ok; next, _, ok = s.Next(now) {
			d := downloads[next.Transfer-1]
			d.left, d.offered = d.left-next.Bytes, false
			d.done = now.Add(s.Unsent(now))
		}
	}
}

// Small answers waited behind all large ones that were written before them: 24 downloads
// of 90 KB at once occupied a link of 10 Mbit/s for 1.7 s, while the calls that needed the
// link have 0.4 s in all.
func TestSmallMessagesPassLargeOnes(t *testing.T) {
	s := NewScheduler(10 * mbit)
	var downloads []*download
	for i := range 24 {
		downloads = append(downloads, &download{transfer: uint64(i + 1), left: 90_000})
	}
	if wait := replay(s, downloads, 400); wait > segmentTime+maxUnsent+time.Millisecond {
		t.Errorf("a small message waited %v for the link, one segment takes %v", wait, segmentTime)
	}
	// Small messages take 400 bytes each 5 ms, 0.64 Mbit/s.
	seconds := 24 * 90_000 * 8 / (10e6 - 0.64e6)
	if took, best := downloads[23].done.Sub(start), time.Duration(seconds*float64(time.Second)); took > best*21/20 {
		t.Errorf("the downloads took %v, %v is possible", took, best)
	}
}

// Downloads that share the link evenly are all late when there are more than it carries
// in time; one after the other, the first ones are in time.
func TestTransfersAreSentInOrder(t *testing.T) {
	s := NewScheduler(10 * mbit)
	var downloads []*download
	for i := range 20 {
		downloads = append(downloads, &download{transfer: uint64(i + 1), left: 90_000})
	}
	replay(s, downloads, 0)
	for i, d := range downloads {
		if want := time.Duration(i+1) * s.Duration(90_000); d.done.Sub(start) > want*21/20 {
			t.Errorf("download %d is sent after %v, want %v", i+1, d.done.Sub(start), want)
		}
	}
}

// 20 downloads at once that are due within 0.8 s, on a link that sends 11 of 90 KB in that
// time: once the first large one had made the next late, each later one was late, too.
func TestLateTransfersYield(t *testing.T) {
	s := NewScheduler(10 * mbit)
	var downloads []*download
	for i := range 20 {
		size := 50_000
		if i%4 == 0 {
			size = 210_000
		}
		downloads = append(downloads, &download{transfer: uint64(i + 1), left: size, due: start.Add(800 * time.Millisecond)})
	}
	// Five more arrive with a later due time than the link needs for those before them.
	for range 5 {
		downloads = append(downloads, &download{transfer: uint64(len(downloads) + 1), left: 50_000, due: start.Add(1200 * time.Millisecond)})
	}
	replay(s, downloads, 0)
	inTime := 0
	for _, d := range downloads {
		if !d.due.Before(d.done.Add(-5 * time.Millisecond)) {
			inTime++
		}
	}
	// In the order of arrival 10 of 25 are in time: 800 ms of the link for the first
	// twenty, and none of the last five.
	if inTime < 14 {
		t.Errorf("%d of 25 downloads are in time, want 14", inTime)
	}
}

// A transfer that is given up must not hold back those behind it.
func TestWithdrawnTransferIsSkipped(t *testing.T) {
	s := NewScheduler(10 * mbit)
	for i := range 3 {
		s.Offer(Segment{Transfer: uint64(i + 1), Bytes: 1000})
	}
	if !s.Withdraw(1) || s.Withdraw(1) {
		t.Error("transfer 1 is withdrawn once")
	}
	if next, _, ok := s.Next(start); !ok || next.Transfer != 2 {
		t.Errorf("got %+v, %v, want transfer 2", next, ok)
	}
}

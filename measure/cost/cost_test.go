package cost

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/measure"
	"github.com/parsleystack/parsleystack/platformlog/logtest"
)

// TestCellSettlesAfterALoss checks what the measurement of a cell relies on:
// the loss of any member leaves all ranges held again.
func TestCellSettlesAfterALoss(t *testing.T) {
	for name, pick := range map[string]func(*cellRun) *cellMember{
		"member": (*cellRun).plain,
		"leader": (*cellRun).leader,
		"deputy": (*cellRun).deputy,
	} {
		t.Run(name, func(t *testing.T) {
			l, err := lose(4, 32, pick)
			if err != nil {
				t.Fatal(err)
			}
			// A lease of 2 s that has just been renewed must run out first.
			if l.unheld < time.Second || l.unheld > 4*time.Second || l.records == 0 || l.bytes == 0 {
				t.Errorf("loss %+v, want ranges held again after the lease of 2 s has run out, and records", l)
			}
		})
	}
}

func TestSteadyCellUsesNoLog(t *testing.T) {
	r, err := startCell(3, 24)
	if err != nil {
		t.Fatal(err)
	}
	r.run(warmUp)
	records := len(r.records)
	used := r.steady(time.Minute)
	if len(r.records) != records {
		t.Errorf("%d records appended in a minute without changes", len(r.records)-records)
	}
	if leader := used[r.leader()]; leader.sent == 0 || leader.received == 0 || leader.sentBytes <= leader.sent {
		t.Errorf("use of the leader: %+v", leader)
	}
}

func TestLogCostCountsBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := logtest.NewServer(logtest.New(logtest.Options{}))
	go func() { _ = server.Serve(listener) }()
	defer func() {
		_ = server.Shutdown(context.Background())
		_ = listener.Close()
	}()
	client, wire := newCountedClient(listener.Addr().String())
	defer client.Close()
	small := newLogCall("small", "one append", measure.Facts{})
	for _, size := range []int{100, 1100} {
		payload := make([]byte, size)
		if err := small.measure(size, wire, func() error { return appendOnce(client, "s", payload) }); err != nil {
			t.Fatal(err)
		}
	}
	grown := small.bytes.Points[1].Value - small.bytes.Points[0].Value
	if grown < 1000 || grown > 1010 {
		t.Errorf("1000 bytes more of payload are %v bytes more on the wire, want them and few of the headers", grown)
	}
}

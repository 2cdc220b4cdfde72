package cost

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/measure"
	"github.com/parsleystack/parsleystack/platformlog/logtest"
)

// The measurement of a loss needs a cell that recovers: after the loss of any
// member, all ranges must be held again.
func TestCellSettlesAfterALoss(t *testing.T) {
	for name, pick := range map[string]func(*cellSim) *cellMember{
		"member": (*cellSim).memberWithoutRole,
		"leader": (*cellSim).leader,
		"deputy": (*cellSim).deputy,
	} {
		t.Run(name, func(t *testing.T) {
			l, err := simulateLoss(4, 32, pick)
			if err != nil {
				t.Fatal(err)
			}
			// The lease of 2 s, renewed shortly before the loss, must expire first.
			if l.recoveryTime < time.Second || l.recoveryTime > 4*time.Second || l.records == 0 || l.payloadBytes == 0 {
				t.Errorf("loss %+v, want all ranges held again after the lease of 2 s has expired, and records", l)
			}
		})
	}
}

func TestSteadyCellUsesNoLog(t *testing.T) {
	r, err := startCell(3, 24)
	if err != nil {
		t.Fatal(err)
	}
	r.advance(warmUp)
	records := len(r.records)
	used := r.usageOver(time.Minute)
	if len(r.records) != records {
		t.Errorf("%d records appended in a minute without changes", len(r.records)-records)
	}
	if leader := used[r.leader()]; leader.sent == 0 || leader.received == 0 || leader.sentBytes <= leader.sent {
		t.Errorf("usage of the leader: %+v", leader)
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
		t.Errorf("1000 more bytes of payload are %v more bytes on the wire, want 1000 to 1010: the payload and longer headers", grown)
	}
}

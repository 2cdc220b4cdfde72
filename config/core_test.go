package config

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

const testStart = clock.Time(time.Hour)

func batchOf(t *testing.T, from, n, next int) LogRead {
	ev := LogRead{From: platformlog.Offset(from), Wall: 1}
	for i := from; i < from+n; i++ {
		payload := publishPayload(t, "reports", i, platformlog.Offset(i-1), "anna", uint64(i))
		ev.Batch.Records = append(ev.Batch.Records, platformlog.Record{Offset: platformlog.Offset(i), Time: 1, Payload: payload})
	}
	ev.Batch.Earliest = 1
	ev.Batch.Next = platformlog.Offset(next)
	return ev
}

func TestNothingIsReadyBeforeTheEndOfTheStream(t *testing.T) {
	c := NewCore(DefaultParameters(time.Hour))
	eff := c.Step(Tick{}, testStart)
	if eff.Read == nil || eff.Read.From != 1 {
		t.Fatalf("the first step requests read %+v", eff.Read)
	}
	eff = c.Step(batchOf(t, 1, 2, 4), testStart)
	if eff.InForce != nil || eff.Read == nil || eff.Read.From != 3 {
		t.Fatalf("in the middle of the stream: %+v", eff)
	}
	eff = c.Step(batchOf(t, 3, 1, 4), testStart)
	if eff.InForce == nil || !eff.InForce.Ready || eff.InForce.Service("reports").Spec.Slots != 3 {
		t.Fatalf("at the end of the stream: %+v", eff.InForce)
	}
}

func TestOlderStateOfAPeerIsRefused(t *testing.T) {
	c := NewCore(DefaultParameters(time.Hour))
	c.Step(Tick{}, testStart)
	c.Step(batchOf(t, 1, 3, 4), testStart)
	older := NewState(Schema)
	older.Apply(1, 1, publishPayload(t, "reports", 1, 0, "anna", 1))
	eff := c.Step(Pulled{Answer: &PullAnswer{Ready: true, State: older.Snapshot()}}, testStart)
	if eff.InForce != nil || eff.Fault != nil || c.state.Version("reports") != 3 {
		t.Fatalf("effects are %+v, version %d", eff, c.state.Version("reports"))
	}
}

func TestDaemonWithoutLogTakesRecordsFromAPeer(t *testing.T) {
	peer := ident.Node{Instance: "reports-2", Incarnation: 1}
	ahead := NewCore(DefaultParameters(time.Hour))
	ahead.Step(Tick{}, testStart)
	inForce := ahead.Step(batchOf(t, 1, 3, 4), testStart).InForce

	c := NewCore(DefaultParameters(time.Hour))
	c.Step(Tick{}, testStart)
	c.Step(batchOf(t, 1, 1, 2), testStart)
	eff := c.Step(PeerOffset{Peer: peer, Offset: 3}, testStart)
	if eff.Pull != nil {
		t.Fatal("a daemon that reads the log pulls from a peer without waiting for PeerLagTimeout")
	}
	later := testStart.Add(time.Second)
	eff = c.Step(LogFailed{}, later)
	if eff.Pull == nil || eff.Pull.Peer != peer || eff.Pull.Pull.From != 2 {
		t.Fatalf("while the log is unavailable the daemon pulls %+v", eff.Pull)
	}
	answer := inForce.Answer(eff.Pull.Pull)
	if answer.State != nil || len(answer.Records) != 2 {
		t.Fatalf("the peer answers with %+v", answer)
	}
	eff = c.Step(Pulled{Peer: peer, Answer: answer}, later)
	if eff.InForce == nil || eff.InForce.Offset != 3 || len(eff.Verdicts) != 2 {
		t.Fatalf("after the answer: %+v", eff)
	}
}

func TestSnapshotIsAppendedOnceItIsDue(t *testing.T) {
	params := DefaultParameters(time.Hour)
	params.SnapshotJitter = 0
	c := NewCore(params)
	c.Step(Tick{}, testStart)
	c.Step(batchOf(t, 1, 1, 2), testStart)
	for _, age := range []time.Duration{time.Minute, 59 * time.Minute} {
		if eff := c.Step(Tick{}, testStart.Add(age)); eff.AppendSnapshot != nil {
			t.Fatalf("a snapshot is appended at the age of %v", age)
		}
	}
	eff := c.Step(Tick{}, testStart.Add(time.Hour))
	if eff.AppendSnapshot == nil {
		t.Fatal("no snapshot is appended although one is due")
	}
	r := &replay{schema: Schema}
	st := r.add(platformlog.Record{Offset: 2, Payload: eff.AppendSnapshot})
	if st == nil || st.Covered() != 2 || st.Version("reports") != 1 {
		t.Fatalf("the state from the snapshot is %+v", st)
	}
}

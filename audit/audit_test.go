package audit

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/admin"
	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/config"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/platformlog/logtest"
	"github.com/parsleystack/parsleystack/service"
)

// trailLog is a log whose clock advances by a minute with each record.
type trailLog struct {
	t   *testing.T
	log *logtest.Log
	now time.Time
}

var testStart = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

func newTrailLog(t *testing.T, retention time.Duration) *trailLog {
	l := &trailLog{t: t, now: testStart}
	l.log = logtest.New(logtest.Options{
		LongPoll:  time.Millisecond,
		Retention: retention,
		Now:       func() time.Time { return l.now },
	})
	return l
}

func (l *trailLog) append(stream platformlog.Stream, payload []byte) {
	l.t.Helper()
	l.now = l.now.Add(time.Minute)
	if _, err := l.log.Append(context.Background(), stream, payload); err != nil {
		l.t.Fatal(err)
	}
}

func (l *trailLog) publish(name ident.Service, expectedVersion platformlog.Offset, author string) {
	l.t.Helper()
	c, err := config.NewPublish(&service.Spec{Name: name}, expectedVersion, author, uint64(l.now.Unix()))
	if err != nil {
		l.t.Fatal(err)
	}
	payload, err := c.Encode()
	if err != nil {
		l.t.Fatal(err)
	}
	l.append(config.Stream, payload)
}

var (
	first  = ident.Node{Instance: "reports-1", Incarnation: 1}
	second = ident.Node{Instance: "reports-2", Incarnation: 1}
	stream = cell.StreamName("reports", "lombardy", 0)
)

// writeCell appends the records of a cell whose lower half moves from the first
// member to the second one. The last claim is rejected.
func (l *trailLog) writeCell() {
	halves := keyspace.Divide(2)
	grants := []cell.Grant{
		{Range: halves[0], Owner: first, Token: cell.Token{Term: 3, Seq: 1}},
		{Range: halves[1], Owner: second, Token: cell.Token{Term: 3, Seq: 2}},
	}
	unassigned := cell.State{Grants: []cell.Grant{{Range: halves[0]}, {Range: halves[1]}}}
	moved := []cell.Grant{{Range: halves[0], Owner: second, Token: cell.Token{Term: 3, Seq: 4}}}
	for _, r := range []cell.Record{
		{Announce: &cell.Announce{Nonce: 1, Member: cell.Member{Node: first}}},
		{Announce: &cell.Announce{Nonce: 2, Member: cell.Member{Node: second}}},
		{Claim: &cell.Claim{Nonce: 3, Kind: cell.ClaimFirst, Candidate: first, Deputy: second, Active: true, State: unassigned}},
		{Assign: &cell.Assign{Nonce: 4, Term: 3, From: 0, To: 2, Changed: grants}},
		{Assign: &cell.Assign{Nonce: 5, Term: 3, From: 2, To: 4, Changed: moved}},
		{Claim: &cell.Claim{Nonce: 6, Kind: cell.ClaimFirst, Candidate: second, Deputy: first, State: unassigned}},
	} {
		l.append(stream, r.AppendTo(nil))
	}
}

func read(t *testing.T, l *trailLog, f *Filter) []Entry {
	t.Helper()
	trail, err := Read(context.Background(), l.log, []ident.Region{"lombardy"}, f)
	if err != nil || len(trail.Incomplete) > 0 {
		t.Fatalf("error %v, incomplete %v", err, trail.Incomplete)
	}
	return trail.Entries
}

func kinds(entries []Entry) map[Kind]int {
	counts := map[Kind]int{}
	for _, e := range entries {
		counts[e.Kind]++
	}
	return counts
}

func TestTrailNamesChangesAndMoves(t *testing.T) {
	l := newTrailLog(t, 0)
	l.publish("reports", 0, "anna")
	l.publish("reports", 0, "berta")
	l.writeCell()
	entries := read(t, l, &Filter{})
	got := kinds(entries)
	for kind, want := range map[Kind]int{ConfigAccepted: 1, ConfigRejected: 1, Joined: 2, Leader: 1, Granted: 3, Rejected: 1} {
		if got[kind] != want {
			t.Errorf("%d entries of kind %s, want %d", got[kind], kind, want)
		}
	}
	for i := 1; i < len(entries); i++ {
		if entries[i].Time.Before(entries[i-1].Time) {
			t.Fatal("entries are not ordered by time")
		}
	}
}

func TestFilterByKeyFollowsOneRange(t *testing.T) {
	l := newTrailLog(t, 0)
	l.publish("reports", 0, "anna")
	l.writeCell()
	key := "a"
	for keyspace.Hash("reports", []byte(key)) > keyspace.Divide(2)[0].Last {
		key += "a"
	}
	entries := read(t, l, &Filter{Service: "reports", Key: key, Kinds: []Kind{Granted}})
	if want := "moved from reports-1#1: its lease expired, or the range was moved for balancing or a planned stop"; len(entries) == 2 && entries[1].Reason != want {
		t.Errorf("the reason of the move is %q", entries[1].Reason)
	}
	if len(entries) != 2 || entries[0].Node != first.String() || entries[1].Node != second.String() || entries[1].Token != "3.4" {
		t.Fatalf("entries of the key are %+v", entries)
	}
}

func TestFilterByTimeAndService(t *testing.T) {
	l := newTrailLog(t, 0)
	l.publish("reports", 0, "anna")
	l.publish("bookings", 0, "anna")
	l.publish("reports", 1, "berta")
	at := func(minutes int) time.Time { return testStart.Add(time.Duration(minutes) * time.Minute) }
	if got := read(t, l, &Filter{Since: at(2), Until: at(3)}); len(got) != 1 || got[0].Service != "bookings" {
		t.Errorf("entries from minute 2 to 3 are %+v", got)
	}
	if got := read(t, l, &Filter{Service: "reports"}); len(got) != 2 || got[1].Author != "berta" {
		t.Errorf("entries of reports are %+v", got)
	}
}

// If records at the start of the configuration stream have expired, the trail
// must be reported as incomplete and not be presented as the whole history.
func TestExpiredStartIsReported(t *testing.T) {
	l := newTrailLog(t, 90*time.Second)
	for i := range 4 {
		l.publish("reports", platformlog.Offset(i), "anna")
	}
	trail, err := Read(context.Background(), l.log, nil, &Filter{})
	if err != nil || len(trail.Incomplete) != 1 {
		t.Fatalf("trail %+v, error %v", trail, err)
	}
}

type commandBackend struct{ admin.Backend }

func (commandBackend) Drain(context.Context, *admin.DrainRequest) (*admin.DrainResponse, error) {
	return &admin.DrainResponse{Instance: "reports-1"}, nil
}

func (commandBackend) ConfirmLoss(context.Context, *admin.ConfirmLossRequest) (*admin.ConfirmLossResponse, error) {
	return nil, &admin.Error{Problem: "it answers", Remedy: "drain it"}
}

// Accepted operator commands are in the trail, and rejected ones are not. A log
// outage does not make a command fail; only its record is missing.
func TestCommandsAreRecorded(t *testing.T) {
	ctx := context.Background()
	l := newTrailLog(t, 0)
	r := NewRecorder(commandBackend{}, l.log, zap.NewNop(), first, "reports")
	if _, err := r.Drain(ctx, &admin.DrainRequest{Operator: "anna", Reason: "upgrade"}); err != nil {
		t.Fatal(err)
	}
	if _, err := r.ConfirmLoss(ctx, &admin.ConfirmLossRequest{Operator: "anna"}); err == nil {
		t.Fatal("the backend's rejection is not returned")
	}
	l.log.SetFaults(logtest.Faults{Outage: true})
	if _, err := r.Drain(ctx, &admin.DrainRequest{Operator: "anna"}); err != nil {
		t.Fatalf("the command fails during a log outage: %v", err)
	}
	l.log.SetFaults(logtest.Faults{})
	entries := read(t, l, &Filter{Service: "reports"})
	if len(entries) != 1 || entries[0].Kind != DrainRequested || entries[0].Author != "anna" || entries[0].Reason != "upgrade" {
		t.Fatalf("entries are %+v", entries)
	}
}

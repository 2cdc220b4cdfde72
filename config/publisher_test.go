package config

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// fakeLog is an in-memory stream. Each append uses the next of behaviors, and
// succeeds when there is none left.
type fakeLog struct {
	records   []platformlog.Record
	truncated int
	behaviors []appendBehavior
	delayed   [][]byte
	appends   int
}

type appendBehavior int

const (
	succeeds          appendBehavior = iota
	responseLost                     // appends the record, but the response is lost
	unavailable                      // fails without effect
	appendedLater                    // fails; the test appends the record later
	conflictingAppend                // appends a change of another operator first
)

func (l *fakeLog) Append(_ context.Context, _ platformlog.Stream, payload []byte) (platformlog.Offset, error) {
	l.appends++
	behavior := succeeds
	if len(l.behaviors) > 0 {
		behavior, l.behaviors = l.behaviors[0], l.behaviors[1:]
	}
	switch behavior {
	case unavailable:
		return 0, &platformlog.UnavailableError{Op: "append", Cause: errors.New("outage")}
	case appendedLater:
		l.delayed = append(l.delayed, payload)
		return 0, &platformlog.UnknownOutcomeError{Cause: errors.New("response lost")}
	case conflictingAppend:
		c, _ := DecodeChange(payload)
		other, _ := NewPublish(testSpec(string(c.Service), 99), c.ExpectedVersion, "berta", 77)
		first, _ := other.Encode()
		l.appendRecord(first)
	}
	offset := l.appendRecord(payload)
	if behavior == responseLost {
		return 0, &platformlog.UnknownOutcomeError{Cause: errors.New("response lost")}
	}
	return offset, nil
}

func (l *fakeLog) appendRecord(payload []byte) platformlog.Offset {
	offset := platformlog.Offset(len(l.records) + 1)
	l.records = append(l.records, platformlog.Record{Offset: offset, Time: int64(offset) * int64(time.Second), Payload: payload})
	return offset
}

func (l *fakeLog) Read(_ context.Context, _ platformlog.Stream, from platformlog.Offset, limit int) (platformlog.Batch, error) {
	b := platformlog.Batch{Earliest: platformlog.Offset(l.truncated + 1), Next: platformlog.Offset(len(l.records) + 1)}
	if from < b.Earliest {
		return b, &platformlog.TruncatedError{From: from, Earliest: b.Earliest}
	}
	b.Records = l.records[from-1:]
	if len(b.Records) > limit {
		b.Records = b.Records[:limit]
	}
	return b, nil
}

func newPublisher(log platformlog.Log) *Publisher {
	nonce := uint64(100)
	return &Publisher{
		Log:            log,
		Author:         "anna",
		Nonce:          func() uint64 { nonce++; return nonce },
		OutcomeTimeout: 20 * time.Millisecond,
		PollInterval:   time.Millisecond,
	}
}

func candidate(name string, slots int) []Candidate {
	return []Candidate{{Path: name + ".yaml", Spec: testSpec(name, slots)}}
}

func publishOne(t *testing.T, p *Publisher, slots int) Result {
	t.Helper()
	plan, err := p.Plan(context.Background(), candidate("reports", slots), nil)
	if err != nil {
		t.Fatal(err)
	}
	results, err := p.Publish(context.Background(), plan)
	if err != nil || len(results) != 1 {
		t.Fatalf("results %+v, error %v", results, err)
	}
	return results[0]
}

func TestPublishReportsOutcome(t *testing.T) {
	for name, tc := range map[string]struct {
		behaviors []appendBehavior
		want      ResultKind
		appends   int
	}{
		"lands":                       {[]appendBehavior{succeeds}, ResultAccepted, 1},
		"response lost":               {[]appendBehavior{responseLost}, ResultAccepted, 1},
		"unavailable at first":        {[]appendBehavior{unavailable, unavailable, succeeds}, ResultAccepted, 3},
		"unavailable on all attempts": {[]appendBehavior{unavailable, unavailable, unavailable, unavailable, unavailable}, ResultFailed, 5},
		"not seen in time":            {[]appendBehavior{appendedLater}, ResultIndeterminate, 1},
		"conflicting change first":    {[]appendBehavior{conflictingAppend}, ResultConflict, 1},
		"unavailable, then conflict":  {[]appendBehavior{unavailable, conflictingAppend}, ResultConflict, 2},
	} {
		log := &fakeLog{behaviors: tc.behaviors}
		r := publishOne(t, newPublisher(log), 1)
		if r.Kind != tc.want || log.appends != tc.appends {
			t.Errorf("%s: %v after %d appends (%v), want %v after %d", name, r.Kind, log.appends, r.Err, tc.want, tc.appends)
		}
	}
}

func TestConflictErrorDescribesAcceptedChange(t *testing.T) {
	r := publishOne(t, newPublisher(&fakeLog{behaviors: []appendBehavior{conflictingAppend}}), 1)
	for _, want := range []string{"berta published it at 1970-01-01T00:00:01Z as version 1", `targets.slots is "99" in force and "1" here`, "parsley plan"} {
		if !strings.Contains(r.Error, want) {
			t.Errorf("%q does not say %q", r.Error, want)
		}
	}
}

// A plan whose expected version is outdated must not append a record.
func TestOutdatedPlanIsNotAppended(t *testing.T) {
	log := &fakeLog{}
	anna, berta := newPublisher(log), newPublisher(log)
	plan, err := anna.Plan(context.Background(), candidate("reports", 1), nil)
	if err != nil {
		t.Fatal(err)
	}
	publishOne(t, berta, 2)
	results, err := anna.Publish(context.Background(), plan)
	if err != nil || results[0].Kind != ResultConflict || log.appends != 1 {
		t.Fatalf("results %+v, error %v, %d appends", results, err, log.appends)
	}
}

// The append of a change with an indeterminate outcome may take effect late. The
// change must be rejected if the service has been changed in the meantime.
func TestIndeterminateChangeAppendedLate(t *testing.T) {
	log := &fakeLog{behaviors: []appendBehavior{appendedLater}}
	publishOne(t, newPublisher(log), 1)
	if r := publishOne(t, newPublisher(log), 2); r.Kind != ResultAccepted {
		t.Fatalf("publishing again is %v: %v", r.Kind, r.Err)
	}
	log.appendRecord(log.delayed[0])
	st, err := ReadState(context.Background(), log)
	if err != nil || st.Version("reports") != 1 || st.Entry("reports").Author != "anna" {
		t.Fatalf("state %+v, error %v", st.Entry("reports"), err)
	}
	if spec, _ := st.Entry("reports").spec(Schema); spec.Slots != 2 {
		t.Fatalf("the delayed change was accepted: the service has %d slots, want 2", spec.Slots)
	}
}

// A change whose response was lost may have been accepted and then replaced by a
// later change before its publisher reads the stream. It must be reported as
// accepted, not as a conflict.
func TestSupersededChangeCountsAsAccepted(t *testing.T) {
	log := &fakeLog{behaviors: []appendBehavior{responseLost}}
	p := newPublisher(log)
	plan, err := p.Plan(context.Background(), candidate("reports", 1), nil)
	if err != nil {
		t.Fatal(err)
	}
	change, _ := plan.Steps[0].change("anna", 101)
	log.appendRecord(encode(t, change))
	log.appendRecord(publishPayload(t, "reports", 5, 1, "berta", 9))
	if err := p.advance(context.Background()); err != nil {
		t.Fatal(err)
	}
	if r, done := p.outcome(&plan.Steps[0], 101); !done || r.Kind != ResultAccepted || r.Version != 1 {
		t.Fatalf("result %+v", r)
	}
}

func TestPlanNamesWhatChanges(t *testing.T) {
	log := &fakeLog{}
	p := newPublisher(log)
	publishOne(t, p, 1)
	next := candidate("reports", 2)
	next[0].Spec.Key.Source = 1
	plan, err := p.Plan(context.Background(), append(next, candidate("bookings", 1)...), nil)
	if err != nil {
		t.Fatal(err)
	}
	update, create := plan.Steps[0], plan.Steps[1]
	if update.Action != ActionUpdate || update.ExpectedVersion != 1 || len(update.Differences) != 3 || len(update.Warnings) != 1 {
		t.Errorf("update is %+v", update)
	}
	if create.Action != ActionCreate || create.ExpectedVersion != 0 || plan.Changes() != 2 {
		t.Errorf("create is %+v", create)
	}
	same, err := p.Plan(context.Background(), candidate("reports", 1), nil)
	if err != nil || same.Changes() != 0 {
		t.Errorf("plan of the same file is %+v, error %v", same, err)
	}
	retire, err := p.Plan(context.Background(), candidate("bookings", 1), []ident.Service{"reports"})
	if err != nil || retire.Steps[1].Action != ActionRetire || retire.Steps[1].ExpectedVersion != 1 {
		t.Errorf("retire is %+v, error %v", retire, err)
	}
}

func TestResetRequiresTruncatedStream(t *testing.T) {
	log := &fakeLog{}
	publishOne(t, newPublisher(log), 1)
	if err := newPublisher(log).Reset(context.Background(), candidate("reports", 2)); err == nil {
		t.Fatal("a reset is accepted although the state can be read")
	}
	log.appendRecord([]byte("expires too"))
	log.truncated = 2
	var truncated *TruncatedError
	if _, err := ReadState(context.Background(), log); !errors.As(err, &truncated) {
		t.Fatalf("error for an expired start of the stream is %v", err)
	}
	if err := newPublisher(log).Reset(context.Background(), candidate("reports", 2)); err != nil {
		t.Fatal(err)
	}
	st, err := ReadState(context.Background(), log)
	if err != nil || st.Version("reports") != 3 {
		t.Fatalf("state %+v, error %v", st, err)
	}
}

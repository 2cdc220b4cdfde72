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

// fakeLog is a stream in memory. Each append takes the next fate.
type fakeLog struct {
	records []platformlog.Record
	expired int
	fates   []fate
	late    [][]byte
	appends int
}

type fate int

const (
	lands       fate = iota
	answerLost       // lands without an answer
	refused          // has no effect
	landsLater       // lands when the test says so
	losesToRace      // another operator's change lands first
)

func (l *fakeLog) Append(_ context.Context, _ platformlog.Stream, payload []byte) (platformlog.Offset, error) {
	l.appends++
	f := lands
	if len(l.fates) > 0 {
		f, l.fates = l.fates[0], l.fates[1:]
	}
	switch f {
	case refused:
		return 0, &platformlog.UnavailableError{Op: "append", Cause: errors.New("outage")}
	case landsLater:
		l.late = append(l.late, payload)
		return 0, &platformlog.UnknownOutcomeError{Cause: errors.New("answer lost")}
	case losesToRace:
		c, _ := DecodeChange(payload)
		other, _ := NewPublish(testSpec(string(c.Service), 99), c.ExpectedVersion, "berta", 77)
		first, _ := other.Encode()
		l.land(first)
	}
	offset := l.land(payload)
	if f == answerLost {
		return 0, &platformlog.UnknownOutcomeError{Cause: errors.New("answer lost")}
	}
	return offset, nil
}

func (l *fakeLog) land(payload []byte) platformlog.Offset {
	offset := platformlog.Offset(len(l.records) + 1)
	l.records = append(l.records, platformlog.Record{Offset: offset, Time: int64(offset) * int64(time.Second), Payload: payload})
	return offset
}

func (l *fakeLog) Read(_ context.Context, _ platformlog.Stream, from platformlog.Offset, limit int) (platformlog.Batch, error) {
	b := platformlog.Batch{Earliest: platformlog.Offset(l.expired + 1), Next: platformlog.Offset(len(l.records) + 1)}
	if from < b.Earliest {
		return b, &platformlog.GapError{From: from, Earliest: b.Earliest}
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

func TestPublishTellsWhatBecameOfAChange(t *testing.T) {
	for name, tc := range map[string]struct {
		fates   []fate
		want    ResultKind
		appends int
	}{
		"lands":                   {[]fate{lands}, ResultAccepted, 1},
		"answer lost":             {[]fate{answerLost}, ResultAccepted, 1},
		"refused at first":        {[]fate{refused, refused, lands}, ResultAccepted, 3},
		"refused for long":        {[]fate{refused, refused, refused, refused, refused}, ResultFailed, 5},
		"not seen in time":        {[]fate{landsLater}, ResultIndeterminate, 1},
		"another operator first":  {[]fate{losesToRace}, ResultConflict, 1},
		"refused, then race lost": {[]fate{refused, losesToRace}, ResultConflict, 2},
	} {
		log := &fakeLog{fates: tc.fates}
		r := publishOne(t, newPublisher(log), 1)
		if r.Kind != tc.want || log.appends != tc.appends {
			t.Errorf("%s: %v after %d appends (%v), want %v after %d", name, r.Kind, log.appends, r.Err, tc.want, tc.appends)
		}
	}
}

func TestLoserLearnsWhoWonAndWhatDiffers(t *testing.T) {
	r := publishOne(t, newPublisher(&fakeLog{fates: []fate{losesToRace}}), 1)
	for _, want := range []string{"berta published it at 1970-01-01T00:00:01Z as version 1", `targets.slots is "99" in force and "1" here`, "parsley plan"} {
		if !strings.Contains(r.Error, want) {
			t.Errorf("%q does not say %q", r.Error, want)
		}
	}
}

// A plan that was overtaken leaves nothing behind.
func TestOvertakenPlanIsNotAppended(t *testing.T) {
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

// A change that was given up may land late: it is accepted only while nothing
// else has changed the service.
func TestUnsettledChangeThatLandsLate(t *testing.T) {
	log := &fakeLog{fates: []fate{landsLater}}
	publishOne(t, newPublisher(log), 1)
	if r := publishOne(t, newPublisher(log), 2); r.Kind != ResultAccepted {
		t.Fatalf("publishing again is %v: %v", r.Kind, r.Err)
	}
	log.land(log.late[0])
	st, err := ReadState(context.Background(), log)
	if err != nil || st.Version("reports") != 1 || st.Entry("reports").Author != "anna" {
		t.Fatalf("state %+v, error %v", st.Entry("reports"), err)
	}
	if spec, _ := st.Entry("reports").spec(Schema); spec.Slots != 2 {
		t.Fatalf("the late change reverted the service to %d slots", spec.Slots)
	}
}

func TestSupersededChangeCountsAsAccepted(t *testing.T) {
	log := &fakeLog{fates: []fate{answerLost}}
	p := newPublisher(log)
	plan, err := p.Plan(context.Background(), candidate("reports", 1), nil)
	if err != nil {
		t.Fatal(err)
	}
	change, _ := plan.Steps[0].change("anna", 101)
	log.land(encode(t, change))
	log.land(publishPayload(t, "reports", 5, 1, "berta", 9))
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

func TestResetNeedsALostStart(t *testing.T) {
	log := &fakeLog{}
	publishOne(t, newPublisher(log), 1)
	if err := newPublisher(log).Reset(context.Background(), candidate("reports", 2)); err == nil {
		t.Fatal("a reset is accepted while the configuration is known")
	}
	log.land([]byte("expires too"))
	log.expired = 2
	var gap *TruncatedError
	if _, err := ReadState(context.Background(), log); !errors.As(err, &gap) {
		t.Fatalf("error of a lost start is %v", err)
	}
	if err := newPublisher(log).Reset(context.Background(), candidate("reports", 2)); err != nil {
		t.Fatal(err)
	}
	st, err := ReadState(context.Background(), log)
	if err != nil || st.Version("reports") != 3 {
		t.Fatalf("state %+v, error %v", st, err)
	}
}

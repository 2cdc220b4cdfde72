package config

import (
	"errors"
	"testing"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/service"
)

func testSpec(name string, slots int) *service.Spec {
	return &service.Spec{
		Name:    ident.Service(name),
		Slots:   slots,
		Conns:   slots,
		Methods: []service.Method{{HTTPMethod: "*", Timeout: 1}},
	}
}

func publishPayload(t testing.TB, name string, slots int, expectedVersion platformlog.Offset, author string, nonce uint64) []byte {
	c, err := NewPublish(testSpec(name, slots), expectedVersion, author, nonce)
	if err != nil {
		t.Fatal(err)
	}
	return encode(t, c)
}

func encode(t testing.TB, c *Change) []byte {
	payload, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return payload
}

func TestFirstChangeWithExpectedVersionIsAccepted(t *testing.T) {
	st := NewState(Schema)
	steps := []struct {
		payload []byte
		want    Outcome
	}{
		{publishPayload(t, "reports", 1, 0, "anna", 1), Accepted},
		{publishPayload(t, "reports", 2, 0, "berta", 2), Rejected},
		{publishPayload(t, "reports", 3, 1, "anna", 3), Accepted},
		{publishPayload(t, "reports", 4, 1, "berta", 4), Rejected},
		{[]byte("garbage"), Undecodable},
		{encode(t, NewRetire("reports", 3, "anna", 5)), Accepted},
		{publishPayload(t, "reports", 5, 0, "late", 6), Rejected},
		{publishPayload(t, "reports", 6, 6, "berta", 7), Accepted},
		{publishPayload(t, "bookings", 1, 6, "berta", 8), Rejected},
	}
	for i, s := range steps {
		offset := platformlog.Offset(i + 1)
		if v := st.Apply(offset, int64(i), s.payload); v.Outcome != s.want {
			t.Fatalf("record %d is %v, want %v", offset, v.Outcome, s.want)
		}
	}
	if v := st.Apply(3, 0, steps[2].payload); v.Outcome != AlreadyApplied {
		t.Fatalf("a record applied twice is %v", v.Outcome)
	}
	if st.Version("reports") != 8 || st.Version("bookings") != 0 {
		t.Fatalf("versions are %d and %d", st.Version("reports"), st.Version("bookings"))
	}
}

func TestRejectedChangeReportsCurrentEntry(t *testing.T) {
	st := NewState(Schema)
	st.Apply(1, 7, publishPayload(t, "reports", 1, 0, "anna", 1))
	v := st.Apply(2, 8, publishPayload(t, "reports", 2, 0, "berta", 2))
	if v.CurrentEntry == nil || v.CurrentEntry.Author != "anna" || v.CurrentEntry.Version != 1 || v.CurrentEntry.Time != 7 {
		t.Fatalf("current entry is %+v", v.CurrentEntry)
	}
}

// A reader that does not support a schema reaches the same verdicts as one that
// does, keeps the last body that it can decode and reports the service as blocked.
func TestNewerSchemaBlocksItsServiceOnly(t *testing.T) {
	newer, err := NewPublish(testSpec("reports", 2), 1, "anna", 2)
	if err != nil {
		t.Fatal(err)
	}
	newer.Schema = Schema + 1
	payloads := [][]byte{
		publishPayload(t, "reports", 1, 0, "anna", 1),
		encode(t, newer),
		publishPayload(t, "bookings", 1, 0, "anna", 3),
		publishPayload(t, "reports", 3, 1, "berta", 4),
		publishPayload(t, "reports", 4, 2, "berta", 5),
	}
	old, current := NewState(Schema), NewState(Schema+1)
	for i, p := range payloads {
		offset := platformlog.Offset(i + 1)
		a, b := old.Apply(offset, 0, p), current.Apply(offset, 0, p)
		if a.Outcome != b.Outcome {
			t.Fatalf("record %d is %v for the old reader and %v for the new one", offset, a.Outcome, b.Outcome)
		}
		if offset == 4 {
			checkBlocked(t, newInForce(old, true, nil, nil))
		}
	}
	if s := newInForce(old, true, nil, nil).Service("reports"); s.Version != 5 || s.Blocked != nil || s.Spec.Slots != 4 {
		t.Fatalf("after a change with a supported schema: %+v", s)
	}
}

func checkBlocked(t *testing.T, f *InForce) {
	t.Helper()
	s := f.Service("reports")
	var newer *NewerSchemaError
	if !errors.As(s.Blocked, &newer) || s.Version != 2 || s.Spec == nil || s.Spec.Slots != 1 {
		t.Fatalf("blocked service is %+v", s)
	}
	if b := f.Service("bookings"); b.Blocked != nil || b.Spec == nil {
		t.Fatalf("other service is %+v", b)
	}
}

func TestResetIsRejectedAfterAnyChange(t *testing.T) {
	snap := NewState(Schema)
	snap.Apply(1, 0, publishPayload(t, "reports", 9, 0, "anna", 1))
	reset := snap.Snapshot()
	reset.Covered = 2
	payload, err := reset.encode(KindReset, "anna", 3)
	if err != nil {
		t.Fatal(err)
	}
	onTime, late := NewState(Schema), NewState(Schema)
	for _, st := range []*State{onTime, late} {
		st.Apply(1, 0, publishPayload(t, "reports", 1, 0, "anna", 1))
		st.Apply(2, 0, publishPayload(t, "bookings", 1, 0, "anna", 2))
	}
	late.Apply(3, 0, publishPayload(t, "payments", 1, 0, "berta", 4))
	if v := onTime.Apply(3, 0, payload); v.Outcome != Accepted || onTime.Version("bookings") != 0 || onTime.Version("reports") != 3 {
		t.Fatalf("reset on time is %v", v.Outcome)
	}
	if v := late.Apply(4, 0, payload); v.Outcome != Rejected || late.Version("bookings") != 2 {
		t.Fatalf("late reset is %v", v.Outcome)
	}
}

func FuzzDecodeChange(f *testing.F) {
	f.Add(publishPayload(f, "reports", 1, 0, "anna", 1))
	f.Add([]byte{0x97})
	f.Fuzz(func(t *testing.T, payload []byte) {
		a, b := NewState(Schema), NewState(Schema+1)
		va, vb := a.Apply(1, 0, payload), b.Apply(1, 0, payload)
		if va.Outcome != vb.Outcome {
			t.Fatalf("verdicts %v and %v", va.Outcome, vb.Outcome)
		}
		newInForce(a, true, nil, nil)
	})
}

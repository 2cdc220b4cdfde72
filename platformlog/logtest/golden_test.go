package logtest_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/platformlog/logtest"
	"github.com/parsleystack/parsleystack/platformlog/logwire"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// session calls a stand-in server through a client on a loopback connection and
// records the results as text.
type session struct {
	text   strings.Builder
	log    *logtest.Log
	client *platformlog.Client
	now    time.Time
}

func (s *session) printf(format string, a ...any) { fmt.Fprintf(&s.text, format+"\n", a...) }

func (s *session) faults(name string, f logtest.Faults) {
	s.log.SetFaults(f)
	s.printf("# %s", name)
}

func (s *session) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.printf("# advance the clock by %v", d)
}

func (s *session) append(payload string) {
	offset, err := s.client.Append(context.Background(), testStream, []byte(payload))
	s.printf("append %q -> %d, %s", payload, offset, class(err))
}

func (s *session) read(from platformlog.Offset, limit int) {
	batch, err := s.client.Read(context.Background(), testStream, from, limit)
	records := ""
	for _, r := range batch.Records {
		records += fmt.Sprintf(" %d=%q@%d", r.Offset, r.Payload, time.Unix(0, r.Time).Unix())
	}
	s.printf("read from %d, limit %d ->%s earliest %d next %d, %s", from, limit, records, batch.Earliest, batch.Next, class(err))
}

func class(err error) string {
	var truncated *platformlog.TruncatedError
	var unavailable *platformlog.UnavailableError
	var unknown *platformlog.UnknownOutcomeError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &truncated):
		return fmt.Sprintf("truncated before %d", truncated.Earliest)
	case errors.As(err, &unavailable):
		return "unavailable"
	case errors.As(err, &unknown):
		return "unknown outcome"
	}
	return "unclassified error: " + err.Error()
}

func TestGoldenSession(t *testing.T) {
	s := &session{now: time.Unix(1_700_000_000, 0)}
	s.log = logtest.New(logtest.Options{
		Retention:  time.Hour,
		AppendRate: 16, // allows a burst of 4
		Now:        func() time.Time { return s.now },
	})
	s.client = platformlog.NewClient(platformlog.ClientConfig{Addr: startServer(t, s.log), LongPoll: time.Millisecond})
	defer s.client.Close()

	s.read(1, 10)
	s.append("a")
	s.append("b")
	s.read(1, 1)
	s.read(2, 10)
	s.faults("responses are lost", logtest.Faults{LostResponseRatio: 1})
	s.append("c")
	s.faults("no faults", logtest.Faults{})
	s.read(3, 10)
	s.append("d")
	s.append("over the rate limit")
	s.advance(time.Second)
	s.faults("outage", logtest.Faults{Outage: true})
	s.append("e")
	s.read(1, 10)
	s.faults("appends take effect late", logtest.Faults{LateRatio: 1, Late: time.Minute})
	s.append("late")
	s.faults("no faults", logtest.Faults{})
	s.append("f")
	s.read(5, 10)
	s.advance(2 * time.Minute)
	s.read(5, 10)
	s.advance(time.Hour)
	s.read(1, 10)
	s.append("after the expiry")
	s.read(7, 10)

	compareGolden(t, "testdata/session.golden", s.text.String())
}

// TestGoldenBatch guards the encoding of the response to a read, which other
// implementations of the protocol rely on.
func TestGoldenBatch(t *testing.T) {
	batch := logwire.Batch{Earliest: 3, Next: 300, Records: []logwire.Record{
		{Offset: 3, Time: 1_700_000_000_000_000_000, Payload: []byte("a")},
		{Offset: 299, Time: 1_700_000_000_000_000_001, Payload: []byte{}},
	}}
	body, err := batch.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "testdata/batch.golden", fmt.Sprintf("%x\n", body))
}

func compareGolden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs, got:\n%s\nwant:\n%s", path, got, want)
	}
}

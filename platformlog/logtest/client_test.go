package logtest_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/platformlog/logtest"
)

const testStream = platformlog.Stream("cell/reports/0")

// startServer serves log on a loopback address and returns the address.
func startServer(t *testing.T, log *logtest.Log) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := logtest.NewServer(log)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Shutdown(ctx)
		_ = listener.Close() // ends Serve even if it started after Shutdown
		<-served
	})
	return listener.Addr().String()
}

func newClient(t *testing.T, addr string) *platformlog.Client {
	t.Helper()
	c := platformlog.NewClient(platformlog.ClientConfig{Addr: addr, LongPoll: 200 * time.Millisecond})
	t.Cleanup(c.Close)
	return c
}

func appendAll(t *testing.T, log platformlog.Log, payloads ...string) {
	t.Helper()
	for _, p := range payloads {
		if _, err := log.Append(context.Background(), testStream, []byte(p)); err != nil {
			t.Fatal(err)
		}
	}
}

func TestClientSession(t *testing.T) {
	client := newClient(t, startServer(t, logtest.New(logtest.Options{})))
	appendAll(t, client, "a", "b", "c")
	batch, err := client.Read(context.Background(), testStream, 2, 10)
	if err != nil {
		t.Fatal(err)
	}
	got := ""
	for _, r := range batch.Records {
		got += fmt.Sprintf("%d=%s ", r.Offset, r.Payload)
	}
	if got != "2=b 3=c " || batch.Earliest != 1 || batch.Next != 4 || !batch.AtTail(2) {
		t.Errorf("read from 2: %q earliest %d next %d", got, batch.Earliest, batch.Next)
	}
	batch, err = client.Read(context.Background(), testStream, 1, 2)
	if err != nil || len(batch.Records) != 2 || batch.AtTail(1) {
		t.Errorf("read of 2 records: %d records, error %v", len(batch.Records), err)
	}
}

func TestClientLongPoll(t *testing.T) {
	log := logtest.New(logtest.Options{})
	client := newClient(t, startServer(t, log))
	empty, err := client.Read(context.Background(), testStream, 1, 1)
	if err != nil || len(empty.Records) != 0 || !empty.AtTail(1) {
		t.Fatalf("read of an empty stream: %+v, error %v", empty, err)
	}
	slow := platformlog.NewClient(platformlog.ClientConfig{Addr: startServer(t, log), LongPoll: time.Minute})
	defer slow.Close()
	batches := make(chan platformlog.Batch, 1)
	go func() {
		b, _ := slow.Read(context.Background(), testStream, 1, 1)
		batches <- b
	}()
	appendAll(t, client, "a")
	if b := <-batches; len(b.Records) != 1 {
		t.Errorf("waiting read got %d records, want 1", len(b.Records))
	}
}

func TestClientReadCanceled(t *testing.T) {
	addr := startServer(t, logtest.New(logtest.Options{}))
	ctx, cancel := context.WithCancel(context.Background())
	client := platformlog.NewClient(platformlog.ClientConfig{
		Addr:     addr,
		LongPoll: 500 * time.Millisecond,
		Dial: func(addr string, timeout time.Duration) (net.Conn, error) {
			defer cancel()
			return net.DialTimeout("tcp", addr, timeout)
		},
	})
	defer client.Close()
	if _, err := client.Read(ctx, testStream, 1, 1); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want context.Canceled", err)
	}
}

func TestClientTruncatedStream(t *testing.T) {
	client := newClient(t, startServer(t, logtest.New(logtest.Options{MaxRecords: 2})))
	appendAll(t, client, "a", "b", "c", "d")
	_, err := client.Read(context.Background(), testStream, 1, 10)
	var truncated *platformlog.TruncatedError
	if !errors.As(err, &truncated) || truncated.Earliest != 3 || truncated.From != 1 {
		t.Fatalf("error %v, want a truncated stream with earliest offset 3", err)
	}
}

func TestClientUnavailable(t *testing.T) {
	log := logtest.New(logtest.Options{})
	client := newClient(t, startServer(t, log))
	log.SetFaults(logtest.Faults{Outage: true})
	assertUnavailable(t, client)
	log.SetFaults(logtest.Faults{})
	appendAll(t, client, "a")

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddr := listener.Addr().String()
	_ = listener.Close()
	assertUnavailable(t, newClient(t, closedAddr))
}

func assertUnavailable(t *testing.T, log platformlog.Log) {
	t.Helper()
	var unavailable *platformlog.UnavailableError
	if _, err := log.Append(context.Background(), testStream, []byte("x")); !errors.As(err, &unavailable) {
		t.Errorf("append: error %v, want UnavailableError", err)
	}
	if _, err := log.Read(context.Background(), testStream, 1, 1); !errors.As(err, &unavailable) {
		t.Errorf("read: error %v, want UnavailableError", err)
	}
}

func TestClientAppendOverRateLimit(t *testing.T) {
	now := time.Unix(1, 0)
	log := logtest.New(logtest.Options{AppendRate: 4, Now: func() time.Time { return now }})
	client := newClient(t, startServer(t, log))
	appendAll(t, client, "a")
	var unavailable *platformlog.UnavailableError
	if _, err := client.Append(context.Background(), testStream, []byte("b")); !errors.As(err, &unavailable) {
		t.Errorf("error %v, want UnavailableError", err)
	}
	if s := log.Stats(); s.Appends != 1 || s.Refused != 1 {
		t.Errorf("stats %+v, want one append and one rejection", s)
	}
}

func TestClientLostResponseIsNotRetried(t *testing.T) {
	log := logtest.New(logtest.Options{})
	log.SetFaults(logtest.Faults{LostResponseRatio: 1})
	client := newClient(t, startServer(t, log))
	assertUnknown(t, client)
	if s := log.Stats(); s.Appends != 1 {
		t.Errorf("%d appends took effect, want exactly 1: the client must not retry an append", s.Appends)
	}
}

func TestClientTimeoutIsUnknown(t *testing.T) {
	log := logtest.New(logtest.Options{})
	log.SetFaults(logtest.Faults{Slow: time.Minute})
	client := platformlog.NewClient(platformlog.ClientConfig{
		Addr:          startServer(t, log),
		AppendTimeout: 50 * time.Millisecond,
	})
	defer client.Close()
	assertUnknown(t, client)
}

func TestClientLateAppend(t *testing.T) {
	log := logtest.New(logtest.Options{})
	log.SetFaults(logtest.Faults{LateRatio: 1, Late: 20 * time.Millisecond})
	client := newClient(t, startServer(t, log))
	assertUnknown(t, client)
	reader := platformlog.NewClient(platformlog.ClientConfig{Addr: startServer(t, log), LongPoll: time.Minute})
	defer reader.Close()
	batch, err := reader.Read(context.Background(), testStream, 1, 1)
	if err != nil || len(batch.Records) != 1 {
		t.Errorf("%d records, error %v, want the late record", len(batch.Records), err)
	}
}

func assertUnknown(t *testing.T, log platformlog.Log) {
	t.Helper()
	var unknown *platformlog.UnknownOutcomeError
	if _, err := log.Append(context.Background(), testStream, []byte("x")); !errors.As(err, &unknown) {
		t.Errorf("error %v, want UnknownOutcomeError", err)
	}
}

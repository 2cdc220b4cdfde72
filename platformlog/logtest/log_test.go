package logtest_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/platformlog/logtest"
)

func TestRetentionExpiresRecords(t *testing.T) {
	now := time.Unix(100, 0)
	log := logtest.New(logtest.Options{Retention: time.Minute, Now: func() time.Time { return now }})
	appendAll(t, log, "a")
	now = now.Add(50 * time.Second)
	appendAll(t, log, "b")
	now = now.Add(20 * time.Second)
	_, err := log.Read(context.Background(), testStream, 1, 1)
	var truncated *platformlog.TruncatedError
	if !errors.As(err, &truncated) || truncated.Earliest != 2 {
		t.Fatalf("error %v, want a truncated stream with earliest offset 2", err)
	}
	now = now.Add(time.Hour)
	batch, err := log.ReadWait(context.Background(), testStream, 3, 1, 0)
	if err != nil || batch.Earliest != 3 || batch.Next != 3 {
		t.Errorf("stream whose records have all expired: %+v, error %v, want earliest and next 3", batch, err)
	}
}

func TestReadDeadlineEndsWait(t *testing.T) {
	log := logtest.New(logtest.Options{LongPoll: time.Minute})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	batch, err := log.Read(ctx, testStream, 1, 1)
	if err != nil || len(batch.Records) != 0 {
		t.Errorf("batch %+v, error %v, want an empty batch", batch, err)
	}
}

func TestLateAppendLandsAfterLaterOnes(t *testing.T) {
	now := time.Unix(100, 0)
	log := logtest.New(logtest.Options{Now: func() time.Time { return now }})
	log.SetFaults(logtest.Faults{LateRatio: 1, Late: time.Minute})
	assertUnknown(t, log)
	log.SetFaults(logtest.Faults{})
	appendAll(t, log, "b")
	now = now.Add(2 * time.Minute)
	batch, err := log.Read(context.Background(), testStream, 1, 10)
	if err != nil || len(batch.Records) != 2 || string(batch.Records[1].Payload) != "x" {
		t.Errorf("batch %+v, error %v, want the late record last", batch, err)
	}
}

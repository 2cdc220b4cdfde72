package config

import (
	"errors"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/parsleystack/parsleystack/clock"
)

// Each condition is logged when it begins or ends, not at every step.
func TestReporterLogsEachConditionOnce(t *testing.T) {
	core, logs := observer.New(zapcore.DebugLevel)
	r := &reporter{logger: zap.New(core)}
	gap := &Effects{Fault: &TruncatedError{Earliest: 9}}
	for range 3 {
		r.step(LogFailed{Err: errors.New("down")}, &Effects{}, clock.Never, testStart)
		r.step(Tick{}, &Effects{}, testStart, testStart.Add(2*maxBehind))
	}
	r.step(LogRead{}, gap, clock.Never, testStart)
	r.step(LogRead{}, gap, clock.Never, testStart)
	var got []string
	for _, e := range logs.All() {
		got = append(got, e.Message)
	}
	want := []string{"log service unavailable", "configuration behind", "configuration behind", "configuration behind", "log service recovered", "configuration stream has a gap"}
	if len(got) != len(want) {
		t.Fatalf("logged %q, want %q", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("logged %q, want %q", got, want)
		}
	}
}

package logevent

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

var update = flag.Bool("update", false, "rewrite docs/LOG-EVENTS.md")

const page = "../docs/LOG-EVENTS.md"

func TestPageMatchesTheCatalogue(t *testing.T) {
	if *update {
		if err := os.WriteFile(page, []byte(Markdown()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != Markdown() {
		t.Error("docs/LOG-EVENTS.md differs from the catalogue; run go test ./logevent -update")
	}
}

func TestEventsAreComplete(t *testing.T) {
	names := map[string]int{}
	for _, e := range All() {
		if e.Name == "" || e.Meaning == "" {
			t.Errorf("%d has no name or meaning", e.Number)
		}
		if e.Level >= zapcore.WarnLevel && e.Remedy == "" {
			t.Errorf("%d is a warning or an error without a remedy", e.Number)
		}
		if e.Number < 1000 || e.Number > 6999 {
			t.Errorf("%d is outside the ranges of the catalogue", e.Number)
		}
		if other, taken := names[e.Name]; taken {
			t.Errorf("%d and %d have the same name", other, e.Number)
		}
		names[e.Name] = e.Number
	}
}

func TestLogWritesNumberAndRemedy(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	logger := zap.New(core)
	Log(logger, PeerConnected)
	Log(logger, TLSDisabled, zap.String("instance", "reports-1"))
	entries := logs.All()
	if len(entries) != 1 {
		t.Fatalf("%d entries, want 1", len(entries))
	}
	fields := entries[0].ContextMap()
	if fields["event"] != int64(1005) || fields["instance"] != "reports-1" || fields["remedy"] != TLSDisabled.Remedy {
		t.Fatalf("fields are %v", fields)
	}
}

package logevent

import (
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
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
		if !strings.Contains(Markdown(), fmt.Sprintf("\n| %d |", e.Number)) {
			t.Errorf("%d is in no section of docs/LOG-EVENTS.md", e.Number)
		}
		if e.Name == "" || e.Meaning == "" {
			t.Errorf("%d has no name or meaning", e.Number)
		}
		if e.Level >= zapcore.WarnLevel && e.Remedy == "" {
			t.Errorf("%d is a warning or an error without a remedy", e.Number)
		}
		if e.Number < 1000 || e.Number > 7999 {
			t.Errorf("%d is outside the ranges of the catalogue", e.Number)
		}
		if other, taken := names[e.Name]; taken {
			t.Errorf("%d and %d have the same name", other, e.Number)
		}
		names[e.Name] = e.Number
	}
}

// Guards against a page that lists events which no package logs any more.
func TestEveryEventIsLogged(t *testing.T) {
	declared := map[string]bool{}
	used := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if filepath.Base(filepath.Dir(path)) == "logevent" {
			collect(declared, declaration, text)
		} else {
			collect(used, usage, text)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(declared) != len(All()) {
		t.Errorf("found %d declarations of %d events", len(declared), len(All()))
	}
	for name := range declared {
		if !used[name] {
			t.Errorf("%s is never logged; log it or remove it", name)
		}
	}
}

var (
	declaration = regexp.MustCompile(`(?m)^\t([A-Z]\w*) += define\(`)
	usage       = regexp.MustCompile(`\blogevent\.([A-Z]\w*)`)
)

func collect(out map[string]bool, pattern *regexp.Regexp, text []byte) {
	for _, m := range pattern.FindAllSubmatch(text, -1) {
		out[string(m[1])] = true
	}
}

func TestLogWritesNumberAndRemedy(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	logger := zap.New(core)
	Log(logger, &Event{Number: 9001, Name: "below the level", Level: zapcore.DebugLevel})
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

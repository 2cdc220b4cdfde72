package logtrace

import (
	"os"
	"strings"
	"testing"
)

func readSample(t *testing.T) []Line {
	t.Helper()
	f, err := os.Open("testdata/lines.log")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }() // only read
	lines, err := Read(f)
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

// A trace must hold the request's lines and the suspected daemon that explains
// them, but no lines of other requests or daemons and no later ones.
func TestTraceOfARequest(t *testing.T) {
	trace := Find(readSample(t), "r1")
	if len(trace.Request) != 2 || trace.Request[1].Event != 7501 {
		t.Fatalf("request lines %v", trace.Request)
	}
	if len(trace.Context) != 1 || trace.Context[0].Event != 7302 {
		t.Errorf("context %v", trace.Context)
	}
	if !strings.Contains(trace.Cause(), "without recent status") {
		t.Errorf("cause %q", trace.Cause())
	}
	if none := Find(readSample(t), "r9"); !strings.Contains(none.Cause(), "no line") {
		t.Errorf("cause of an unknown request: %q", none.Cause())
	}
}

func FuzzRead(f *testing.F) {
	f.Add(`x {"ts":1,"event":2,"request":"r"}`)
	f.Fuzz(func(_ *testing.T, text string) {
		lines, err := Read(strings.NewReader(text))
		if err == nil {
			Find(lines, "r") // must not panic
		}
	})
}

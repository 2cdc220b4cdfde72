package cell

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// goldenSessions returns the scenarios whose traces are stored in testdata.
func goldenSessions() map[string]func(t *testing.T) *sim {
	return map[string]func(t *testing.T) *sim{
		"loss":       goldenLoss,
		"log_outage": goldenLogOutage,
		"handover":   goldenHandover,
		"claim_race": goldenClaimRace,
	}
}

func TestGoldenSessions(t *testing.T) {
	for name, run := range goldenSessions() {
		t.Run(name, func(t *testing.T) {
			s := run(t)
			s.requireSingleHolder()
			checkGolden(t, filepath.Join("testdata", name+".golden"), s.trace.String())
		})
	}
}

func checkGolden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	wantLines, gotLines := strings.Split(string(want), "\n"), strings.Split(got, "\n")
	for i := range max(len(wantLines), len(gotLines)) {
		a, b := "", ""
		if i < len(wantLines) {
			a = wantLines[i]
		}
		if i < len(gotLines) {
			b = gotLines[i]
		}
		if a != b {
			t.Fatalf("%s line %d:\nwant %s\ngot  %s\nrun the test with -update if the change is intended", path, i+1, a, b)
		}
	}
}

// The leader of a cell of four fails.
func goldenLoss(t *testing.T) *sim {
	s := stableCell(t, 4)
	s.kill(s.leaderProc())
	s.run(4 * time.Second)
	return s
}

// A member fails while the log is down; then the log is available again.
func goldenLogOutage(t *testing.T) *sim {
	s := stableCell(t, 4)
	s.logDown = true
	s.run(time.Second)
	s.kill(s.plainProc())
	s.run(4 * time.Second)
	s.logDown = false
	s.run(2 * time.Second)
	return s
}

// The leader of a cell of three is asked to stop.
func goldenHandover(t *testing.T) *sim {
	s := stableCell(t, 3)
	p := s.leaderProc()
	s.step(p, Leave{})
	s.runUntil(10*time.Second, func() bool { return p.left })
	s.run(time.Second)
	return s
}

// The first claims are appended late and with unknown outcome, so that all
// members claim; the claim with the lowest offset takes effect. Then the link
// between leader and deputy fails.
func goldenClaimRace(t *testing.T) *sim {
	s := newSim(t, 4)
	s.run(100 * time.Millisecond)
	s.appendDelay = func() time.Duration { return 400 * time.Millisecond }
	s.run(1500 * time.Millisecond)
	s.appendDelay = nil
	s.run(2 * time.Second)
	leader, deputy := s.leaderProc().id.Instance, s.deputyProc().id.Instance
	s.losesAppendResponses = true
	s.cut = func(from, to ident.Instance) bool {
		return from == leader && to == deputy || from == deputy && to == leader
	}
	s.run(4 * time.Second)
	return s
}

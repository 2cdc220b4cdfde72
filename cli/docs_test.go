package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against parsley commands on the operators' pages that fail. The commands
// of a page run in sequence against a new deployment.
func TestCommandsOfThePagesWork(t *testing.T) {
	pages, err := filepath.Glob("../docs/operators/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatalf("no pages: %v", err)
	}
	for _, page := range pages {
		t.Run(filepath.Base(page), func(t *testing.T) { runPage(t, page) })
	}
}

func runPage(t *testing.T, page string) {
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	d := newDeployment(t)
	replace := d.sampleNames(t)
	for line := range strings.Lines(string(text)) {
		command, isCommand := strings.CutPrefix(strings.TrimSpace(line), "parsley ")
		if !isCommand || !strings.HasPrefix(line, "    ") {
			continue
		}
		if code, out := d.run(replace.Replace(command)); code != ExitOK {
			t.Errorf("parsley %s: exit code %d\n%s", command, code, out)
		}
	}
}

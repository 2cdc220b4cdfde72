package docs

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/parsleystack/parsleystack/cli"
)

// TestOperationsCommands runs the parsley trace commands of OPERATIONS.md. Each must
// find its request and print a cause.
func TestOperationsCommands(t *testing.T) {
	commands := 0
	for line := range strings.Lines(read(t, "OPERATIONS.md")) {
		command, ok := strings.CutPrefix(line, "    parsley trace ")
		if !ok || strings.HasPrefix(command, "ID ") {
			continue
		}
		commands++
		argv := append([]string{"trace"}, strings.Fields(strings.ReplaceAll(command, "docs/", ""))...)
		var out, errs bytes.Buffer
		if code := cli.Run(context.Background(), &cli.Env{Out: &out, Err: &errs}, argv); code != cli.ExitOK {
			t.Errorf("%s: exit code %d: %s", line, code, errs.String())
		}
		if !strings.Contains(out.String(), "\ncause: ") || !strings.Contains(out.String(), "meanwhile:") {
			t.Errorf("%s prints no cause:\n%s", line, out.String())
		}
	}
	if commands != 4 {
		t.Errorf("%d commands found, want 4", commands)
	}
}

// Guards against check commands of OPERATIONS.md that report faults or are misspelled.
func TestOperationsCheckCommands(t *testing.T) {
	commands := 0
	for line := range strings.Lines(read(t, "OPERATIONS.md")) {
		command, ok := strings.CutPrefix(line, "    parsley check ")
		if !ok {
			continue
		}
		commands++
		argv := append([]string{"check"}, strings.Fields(strings.ReplaceAll(command, "docs/", ""))...)
		var out, errs bytes.Buffer
		if code := cli.Run(context.Background(), &cli.Env{Out: &out, Err: &errs}, argv); code != cli.ExitOK {
			t.Errorf("%s: exit code %d: %s%s", line, code, out.String(), errs.String())
		}
	}
	if commands != 2 {
		t.Errorf("%d commands found, want 2", commands)
	}
}

// Package yamltest checks the errors of bad YAML files against the texts that
// are kept beside them.
package yamltest

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/parsleystack/parsleystack/yamlfile"
)

var update = flag.Bool("update", false, "rewrite the expected errors beside the bad files")

// BadFiles loads every *.yaml file of dir and compares its error with the
// *.error file of the same name.
func BadFiles(t *testing.T, dir string, load func(path string) error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no bad files in %s: %v", dir, err)
	}
	for _, path := range files {
		name := strings.TrimSuffix(path, ".yaml")
		t.Run(filepath.Base(name), func(t *testing.T) { badFile(t, name, load(path)) })
	}
}

func badFile(t *testing.T, name string, err error) {
	var faults yamlfile.Errors
	if !errors.As(err, &faults) {
		t.Fatalf("error is %v of type %T, want yamlfile.Errors", err, err)
	}
	for _, f := range faults {
		if f.Line < 1 || f.Problem == "" || f.Remedy == "" {
			t.Errorf("incomplete error %+v", f)
		}
	}
	golden := name + ".error"
	got := err.Error() + "\n"
	if *update {
		if err := os.WriteFile(golden, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("error is\n%swant\n%s", got, want)
	}
}

// Package yamltest tests the errors for invalid YAML files against golden files.
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

var update = flag.Bool("update", false, "rewrite the golden files of expected errors")

// CheckBadFiles loads every *.yaml file in dir and compares the error with the content
// of the *.error file of the same name. The error must be of type yamlfile.Errors.
func CheckBadFiles(t *testing.T, dir string, load func(path string) error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no bad files in %s: %v", dir, err)
	}
	for _, path := range files {
		name := strings.TrimSuffix(path, ".yaml")
		t.Run(filepath.Base(name), func(t *testing.T) { checkBadFile(t, name, load(path)) })
	}
}

func checkBadFile(t *testing.T, name string, err error) {
	var fieldErrs yamlfile.Errors
	if !errors.As(err, &fieldErrs) {
		t.Fatalf("error is %v of type %T, want yamlfile.Errors", err, err)
	}
	for _, e := range fieldErrs {
		if e.Line < 1 || e.Problem == "" || e.Remedy == "" {
			t.Errorf("incomplete error %+v", e)
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

package settings

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/yamlfile"
)

var update = flag.Bool("update", false, "rewrite the expected errors in testdata")

func TestLoadKeepsDefaultsBesideSetValues(t *testing.T) {
	d, err := Load("testdata/good.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if d.Lease.Duration != 3*time.Second || d.Lease.HeartbeatInterval != 700*time.Millisecond {
		t.Fatalf("lease settings are %+v", d.Lease)
	}
	if d.Zone != "lombardy-a" || d.Target.Conns != 130 || !d.TLS.Insecure || d.LogLevel != LogInfo {
		t.Fatalf("settings are %+v", d)
	}
}

func TestLoadNamesAMissingFile(t *testing.T) {
	_, err := Load("testdata/absent.yaml")
	if !errors.Is(err, os.ErrNotExist) {
		t.Fatalf("error is %v", err)
	}
}

// Each bad file stands beside the error that it must lead to.
func TestLoadRejectsBadFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no bad files: %v", err)
	}
	for _, path := range files {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".yaml"), func(t *testing.T) { checkBadFile(t, path) })
	}
}

func checkBadFile(t *testing.T, path string) {
	_, err := Load(path)
	var faults yamlfile.Errors
	if !errors.As(err, &faults) {
		t.Fatalf("error is %v of type %T, want yamlfile.Errors", err, err)
	}
	for _, f := range faults {
		if f.Line < 1 || f.Problem == "" || f.Remedy == "" {
			t.Errorf("incomplete error %+v", f)
		}
	}
	golden := strings.TrimSuffix(path, ".yaml") + ".error"
	if *update {
		if err := os.WriteFile(golden, []byte(err.Error()+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, readErr := os.ReadFile(golden)
	if readErr != nil {
		t.Fatal(readErr)
	}
	if got := err.Error() + "\n"; got != string(want) {
		t.Errorf("error is\n%swant\n%s", got, want)
	}
}

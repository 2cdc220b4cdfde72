package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const testFile = "service: %s\ntargets: {slots: 1, connections: 1}\nrequests: [{method: GET, timeout: 1s}]\n"

func writeFile(t *testing.T, dir, name, service string) {
	path := filepath.Join(dir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(testFile, "%s", service, 1)), 0o644); err != nil {
		t.Fatal(err)
	}
}

func TestCollectReadsATree(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir, "a/parsley.yaml", "reports")
	writeFile(t, dir, "b/deep/bookings.parsley.yaml", "bookings")
	writeFile(t, dir, "b/other.yaml", "ignored")
	writeFile(t, dir, ".git/parsley.yaml", "hidden")
	got, err := Collect(dir)
	if err != nil || len(got) != 2 || got[0].Spec.Name != "reports" || got[1].Spec.Name != "bookings" {
		t.Fatalf("collected %+v, error %v", got, err)
	}
}

func TestCollectReportsAllFaults(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir, "a/parsley.yaml", "reports")
	writeFile(t, dir, "b/parsley.yaml", "reports")
	writeFile(t, dir, "c/parsley.yaml", "NO")
	_, err := Collect(dir)
	if err == nil || !strings.Contains(err.Error(), "also configured by") || !strings.Contains(err.Error(), "not a name") {
		t.Fatalf("error is %v", err)
	}
	if _, err := Collect(t.TempDir()); err == nil || !strings.Contains(err.Error(), "no service file") {
		t.Fatalf("error for an empty directory is %v", err)
	}
}

package daemon

import (
	"os"
	"path/filepath"
	"testing"
)

// writeFile writes a file to a temporary directory and returns its path.
func writeFile(t *testing.T, name, content string) string {
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

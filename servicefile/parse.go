package servicefile

import (
	"fmt"
	"os"

	"github.com/parsleystack/parsleystack/service"
	"github.com/parsleystack/parsleystack/yamlfile"
)

// Load reads and validates the service file at path. All errors in its content are
// returned together as yamlfile.Errors.
func Load(path string) (*service.Spec, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("servicefile: the file can't be read: %w; name an existing file", err)
	}
	return Parse(path, data)
}

// Parse decodes and validates data, the content of the service file at path. The
// path is only used in error messages.
func Parse(path string, data []byte) (*service.Spec, error) {
	f := defaults()
	doc, err := yamlfile.Decode(path, data, f)
	if err != nil {
		return nil, err
	}
	if f.Key != nil && f.Ranges == 0 {
		f.Ranges = defaultRanges
	}
	c := yamlfile.NewChecker(doc)
	f.check(c)
	if err := c.Err(); err != nil {
		return nil, err
	}
	return f.spec(), nil
}

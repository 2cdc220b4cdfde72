package config

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/service"
	"github.com/parsleystack/parsleystack/servicefile"
	"github.com/parsleystack/parsleystack/yamlfile"
)

// FileName is the name of a service file; a name may also end in
// ".parsley.yaml".
const FileName = "parsley.yaml"

// Candidate is the configuration of one service as read from its service file.
type Candidate struct {
	Path string
	Spec *service.Spec
}

// Collect reads the service files at and below the paths. It skips hidden
// directories. Invalid files are reported together as yamlfile.Errors.
func Collect(paths ...string) ([]Candidate, error) {
	c := &collector{byService: map[ident.Service]string{}}
	for _, p := range paths {
		if err := c.addPath(p); err != nil {
			return nil, err
		}
	}
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	if len(c.candidates) == 0 {
		return nil, fmt.Errorf("config: there is no service file in %s; name a directory with files called %s or *.%s", strings.Join(paths, ", "), FileName, FileName)
	}
	return c.candidates, nil
}

type collector struct {
	candidates []Candidate
	byService  map[ident.Service]string
	faults     yamlfile.Errors
}

func (c *collector) addPath(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("config: service files can't be collected: %w; name an existing file or directory", err)
	}
	if !info.IsDir() {
		return c.addFile(path)
	}
	return filepath.WalkDir(path, func(p string, d fs.DirEntry, err error) error {
		if err != nil {
			return fmt.Errorf("config: service files can't be collected: %w; check the directory's permissions", err)
		}
		if d.IsDir() && p != path && strings.HasPrefix(d.Name(), ".") {
			return filepath.SkipDir
		}
		if d.IsDir() || !isServiceFile(d.Name()) {
			return nil
		}
		return c.addFile(p)
	})
}

func isServiceFile(name string) bool {
	return name == FileName || strings.HasSuffix(name, "."+FileName)
}

func (c *collector) addFile(path string) error {
	spec, err := servicefile.Load(path)
	var faults yamlfile.Errors
	if errors.As(err, &faults) {
		c.faults = append(c.faults, faults...)
		return nil
	}
	if err != nil {
		return err
	}
	if other, taken := c.byService[spec.Name]; taken {
		c.faults = append(c.faults, &yamlfile.FieldError{
			File:    path,
			Line:    1,
			Field:   "service",
			Problem: fmt.Sprintf("%s is also configured by %s", spec.Name, other),
			Remedy:  "keep one file for each service",
		})
		return nil
	}
	c.byService[spec.Name] = path
	c.candidates = append(c.candidates, Candidate{Path: path, Spec: spec})
	return nil
}

package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	relativeLink = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
	codeWord     = regexp.MustCompile("`([^`]+)`")
)

// measuredPage is written by make measure.
const measuredPage = "../docs/CAPACITY.md"

func TestLinksLeadToFiles(t *testing.T) {
	for _, page := range pages(t) {
		for _, match := range relativeLink.FindAllStringSubmatch(read(t, page), -1) {
			path := filepath.Join(filepath.Dir(page), match[1])
			if path == filepath.Clean(measuredPage) {
				continue
			}
			if _, err := os.Stat(path); err != nil {
				t.Errorf("%s links to %s, which does not exist", page, match[1])
			}
		}
	}
}

// The developers' page lists every public package, and no other.
func TestDevelopersPageListsEveryPackage(t *testing.T) {
	text := read(t, "DEVELOPERS.md")
	begin, end := strings.Index(text, "| package |"), strings.Index(text, "## Where to begin")
	if begin < 0 || end < begin {
		t.Fatal("DEVELOPERS.md has no table of packages")
	}
	listed := make(map[string]bool)
	for _, match := range codeWord.FindAllStringSubmatch(text[begin:end], -1) {
		listed[match[1]] = true
	}
	delete(listed, "cmd/parsleyd")
	for _, dir := range packageDirs(t, "..") {
		if parsePackage(t, dir) == nil {
			continue
		}
		name := strings.TrimPrefix(dir, "../")
		if !listed[name] {
			t.Errorf("DEVELOPERS.md does not list package %s", name)
		}
		delete(listed, name)
	}
	for name := range listed {
		t.Errorf("DEVELOPERS.md lists %s, which is no package", name)
	}
}

func TestReadmeListsEveryProgram(t *testing.T) {
	text := read(t, "../README.md")
	programs, err := filepath.Glob("../cmd/*/main.go")
	if err != nil || len(programs) == 0 {
		t.Fatalf("no programs: %v", err)
	}
	for _, path := range programs {
		name := filepath.Base(filepath.Dir(path))
		if !strings.Contains(text, "`"+name+"`") {
			t.Errorf("README.md does not list %s", name)
		}
	}
}

func pages(t *testing.T) []string {
	t.Helper()
	var found []string
	for _, pattern := range []string{"../*.md", "../*/*.md", "../docs/*/*.md"} {
		paths, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		found = append(found, paths...)
	}
	return found
}

func read(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

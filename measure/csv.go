package measure

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

const (
	fileExtension = ".csv"
	factPrefix    = "# "
)

var columns = []string{"quantity", "size", "value", "unit"}

func itoa(n int) string { return strconv.Itoa(n) }

// Write writes the series as CSV: a comment line for each fact, then the
// columns quantity, size, value and unit.
func (s *Series) Write(w io.Writer) error {
	for _, f := range s.Facts.fields() {
		if _, err := fmt.Fprintf(w, "%s%s: %s\n", factPrefix, f.name, *f.value); err != nil {
			return err
		}
	}
	c := csv.NewWriter(w)
	_ = c.Write(columns)
	for _, p := range s.Points {
		_ = c.Write([]string{s.Quantity, formatFloat(p.Size), formatFloat(p.Value), s.Unit})
	}
	c.Flush()
	return c.Error()
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// WriteFile writes the series to the file Name.csv in dir, which it creates if
// needed.
func (s *Series) WriteFile(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	var b bytes.Buffer
	if err := s.Write(&b); err != nil {
		return fmt.Errorf("measure: series %s: %w", s.Name, err)
	}
	if err := os.WriteFile(filepath.Join(dir, s.Name+fileExtension), b.Bytes(), 0o644); err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	return nil
}

// MergeFile appends the points to the file of the series in dir if that file was
// measured on the same commit. Otherwise it replaces the file.
func (s *Series) MergeFile(dir string) error {
	old, err := readFile(filepath.Join(dir, s.Name+fileExtension))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return s.WriteFile(dir)
	case err != nil:
		return err
	}
	merged := *s
	if old.Facts.Commit == s.Facts.Commit {
		merged.Points = append(old.Points, s.Points...)
	}
	return merged.WriteFile(dir)
}

// Read reads a series in the format of Write.
func Read(name string, r io.Reader) (*Series, error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return nil, fmt.Errorf("measure: series %s: %w", name, err)
	}
	s := &Series{Name: name}
	s.Facts = parseFacts(string(text))
	reader := csv.NewReader(bytes.NewReader(text))
	reader.Comment = '#'
	reader.FieldsPerRecord = len(columns)
	rows, err := reader.ReadAll()
	if err != nil {
		return nil, fmt.Errorf("measure: series %s: %w; its columns must be %s", name, err, strings.Join(columns, ","))
	}
	if len(rows) == 0 || strings.Join(rows[0], ",") != strings.Join(columns, ",") {
		return nil, fmt.Errorf("measure: series %s: the first row must be %s", name, strings.Join(columns, ","))
	}
	for i, row := range rows[1:] {
		if err := s.addRow(row); err != nil {
			return nil, fmt.Errorf("measure: series %s: row %d: %w", name, i+1, err)
		}
	}
	return s, nil
}

func parseFacts(text string) Facts {
	var facts Facts
	for _, line := range strings.Split(text, "\n") {
		fact, found := strings.CutPrefix(line, factPrefix)
		name, value, isFact := strings.Cut(fact, ": ")
		if !found || !isFact {
			continue
		}
		for _, f := range facts.fields() {
			if f.name == name {
				*f.value = value
			}
		}
	}
	return facts
}

func (s *Series) addRow(row []string) error {
	size, err := strconv.ParseFloat(row[1], 64)
	if err != nil {
		return fmt.Errorf("size: %w", err)
	}
	value, err := strconv.ParseFloat(row[2], 64)
	if err != nil {
		return fmt.Errorf("value: %w", err)
	}
	if s.Quantity == "" {
		s.Quantity, s.Unit = row[0], row[3]
	}
	if row[0] != s.Quantity || row[3] != s.Unit {
		return fmt.Errorf("quantity %q in %q differs from the first row's; one file holds one quantity", row[0], row[3])
	}
	s.Add(size, value)
	return nil
}

// ReadDir reads all series of a directory and returns them by name.
func ReadDir(dir string) (map[string]*Series, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*"+fileExtension))
	if err != nil {
		return nil, fmt.Errorf("measure: %w", err)
	}
	all := map[string]*Series{}
	for _, path := range files {
		s, err := readFile(path)
		if err != nil {
			return nil, err
		}
		all[s.Name] = s
	}
	return all, nil
}

func readFile(path string) (*Series, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("measure: %w", err)
	}
	defer func() { _ = f.Close() }()
	return Read(strings.TrimSuffix(filepath.Base(path), fileExtension), f)
}

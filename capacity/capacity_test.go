package capacity

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/parsleystack/parsleystack/measure"
)

const testModel = `
sizes:
  - {name: daemons, value: 100, unit: daemons, source: users, doubles: true}
  - {name: interval, value: 0.5, unit: s, source: setting}
derived:
  - {name: heartbeats, value: daemons / interval, unit: 1/s}
budgets:
  - {resource: network, limit: 3000, unit: B/s, text: control traffic}
  - {resource: memory, limit: 128e6, unit: B, text: control state}
sections:
  - name: Leader
    text: Leads a cell.
    terms:
      - {resource: network, text: renewals, series: renewal, size: "8", per_second: 1 / interval, mechanism: leases}
      - {resource: network, text: reads, series: absent, size: "1", per_second: "1", mechanism: long poll}
      - {resource: memory, text: at rest, value: daemons * 1e6 + 2e6, mechanism: none}
`

func loadText(t *testing.T, text string) (*Model, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "model.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path)
}

// renewal returns a series of 100 B plus 50 B per unit of size.
func renewal() map[string]*measure.Series {
	s := &measure.Series{Name: "renewal", Quantity: "bytes of a renewal", Unit: "B"}
	for _, size := range []float64{1, 2, 4, 8} {
		s.Add(size, 100+50*size)
	}
	return map[string]*measure.Series{s.Name: s}
}

func TestWork(t *testing.T) {
	m, err := loadText(t, testModel)
	if err != nil {
		t.Fatal(err)
	}
	results, err := m.Evaluate(renewal(), 1)
	if err != nil {
		t.Fatal(err)
	}
	network, memory := results[0].Needs[0], results[0].Needs[1]
	if math.Abs(network.Value-1000) > 1e-6 || network.Missing != 1 || !network.Met() || network.Terms[0].Extrapolated {
		t.Errorf("network %+v, want 500 B twice a second and one missing term", network)
	}
	if memory.Value != 102e6 || math.Abs(memory.Margin()-128.0/102) > 1e-9 {
		t.Errorf("memory %v, want 102 MB", memory.Value)
	}
	doubled, err := m.Evaluate(renewal(), 2)
	if err != nil || doubled[0].Needs[1].Met() {
		t.Errorf("memory at double size %v of %v is reported as met", doubled[0].Needs[1].Value, 128e6)
	}
}

func TestPageListsTermsNotMeasured(t *testing.T) {
	m, err := loadText(t, testModel)
	if err != nil {
		t.Fatal(err)
	}
	var page strings.Builder
	if err := m.WritePage(&page, renewal()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"open: 1 of 2 terms not measured yet",
		"| network | reads | absent | **not measured yet** |",
		"| Leader | memory | 102 MB | 128 MB | 1.25 | 0.634 | met |",
		"When the size doubles again, memory of section *Leader* breaks first (margin 0.634)",
		"| renewal | bytes of a renewal | 4 from 1 to 8 | 100 + 50 a unit, residual 0 B |",
	} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page lacks %q:\n%s", want, page.String())
		}
	}
}

func TestLoadErrors(t *testing.T) {
	tests := map[string][2]string{
		"unknown field":     {"mechanism: leases", "mechanisms: leases"},
		"unknown resource":  {"resource: network, text: renewals", "resource: disk, text: renewals"},
		"unknown name":      {"value: daemons / interval", "value: daemon / interval"},
		"unknown operator":  {"value: daemons / interval", "value: daemons ^ interval"},
		"missing operand":   {"value: daemons / interval", "value: daemons /"},
		"rate without time": {"size: \"8\", per_second: 1 / interval", "size: \"8\""},
		"two values":        {"series: renewal", "series: renewal, value: \"1\""},
	}
	for name, change := range tests {
		text := strings.Replace(testModel, change[0], change[1], 1)
		if text == testModel {
			t.Fatalf("%s: the model does not contain %q", name, change[0])
		}
		if _, err := loadText(t, text); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestSeriesOfAnotherUnit(t *testing.T) {
	m, err := loadText(t, testModel)
	if err != nil {
		t.Fatal(err)
	}
	series := renewal()
	series["renewal"].Unit = "ns"
	if _, err := m.Evaluate(series, 1); err == nil {
		t.Error("a series in nanoseconds was accepted for a budget in bytes")
	}
}

func TestNumber(t *testing.T) {
	tests := map[float64]string{0: "0", 1: "1", 1234: "1234", 0.12345: "0.123", 9.6e9: "9.6e+09", 0.00001: "1e-05", 14.25: "14.2", 100: "100"}
	for f, want := range tests {
		if got := number(f); got != want {
			t.Errorf("number(%v) = %q, want %q", f, got, want)
		}
	}
}

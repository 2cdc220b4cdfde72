package celltest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// soakSteps is the number of steps of the soak that runs with the tests.
const soakSteps = 150_000

func TestSoak(t *testing.T) {
	soak := Soak{Options: CellOptions(), Seed: 1, Steps: soakSteps, Workers: 4}
	stats, failure := soak.Run()
	if failure != nil {
		t.Fatal(shrunk(soak.Options, failure.Schedule, failure.Violation))
	}
	t.Logf("%+v", stats)
}

func TestAnyScheduleKeepsTheInvariants(t *testing.T) {
	for _, profile := range Profiles {
		params := gopter.DefaultTestParametersWithSeed(1)
		params.MinSuccessfulTests = 8
		props := gopter.NewProperties(params)
		props.Property(string(profile), prop.ForAll(func(seed int64, faults []Fault) (string, error) {
			s := &Schedule{Seed: seed, Profile: profile, Size: 4, Faults: faults}
			if r := Run(CellOptions(), s); r.Violation != nil {
				return "", r.Violation
			}
			return "", nil
		}, gen.Int64Range(1, 1<<40), GenFaults(profile, 4)))
		props.TestingRun(t)
	}
}

func TestCorpus(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.trace")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			s := readTraceFile(t, path)
			if r := Run(CellOptions(), s); r.Violation != nil {
				t.Fatal(r.Violation)
			}
		})
	}
}

func readTraceFile(t *testing.T, path string) *Schedule {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	s, err := ReadTrace(file)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// shrunk shrinks a failing schedule and returns its violation and trace.
func shrunk(opts Options, s *Schedule, v *Violation) string {
	small, found := Shrink(opts, s, v, 100)
	var b strings.Builder
	b.WriteString(found.Error() + "\n")
	_ = WriteTrace(&b, small)
	return b.String()
}

package faultplan

import (
	"slices"
	"strings"
	"testing"
	"time"
)

func testConfig(seed uint64) Config {
	cfg := Defaults()
	cfg.Seed = seed
	cfg.CutLinks = true
	cfg.Deployments = []Deployment{{
		Name: "perizia",
		Cells: []Cell{
			{Service: "reports", Instances: []string{"reports-1", "reports-2", "reports-3", "reports-4"}},
			{Service: "bookings", Instances: []string{"bookings-1", "bookings-2", "bookings-3"}},
		},
	}}
	return cfg
}

func TestEqualSeedsGiveEqualPlans(t *testing.T) {
	if !slices.Equal(Generate(testConfig(7)), Generate(testConfig(7))) {
		t.Fatal("two plans of one seed differ")
	}
	if slices.Equal(Generate(testConfig(7)), Generate(testConfig(8))) {
		t.Fatal("plans of two seeds are equal")
	}
}

// Every fault ends before the recovery time, and more than one instance of a cell
// is faulty at a time only in a double loss.
func TestPlansKeepTheirBounds(t *testing.T) {
	for seed := range uint64(200) {
		cfg := testConfig(seed)
		checkBounds(t, cfg, Generate(cfg))
	}
}

func checkBounds(t *testing.T, cfg Config, plan []Action) {
	t.Helper()
	open := map[string]map[string]bool{} // by service: instances with a fault in progress
	for i, a := range plan {
		if i > 0 && a.At < plan[i-1].At {
			t.Fatalf("seed %d: %v is out of order", cfg.Seed, a)
		}
		if a.At < cfg.Warmup || a.At > cfg.Duration-cfg.Recovery {
			t.Fatalf("seed %d: %v is outside the period of faults", cfg.Seed, a)
		}
		if a.Kind == Log || a.Kind == Race {
			continue
		}
		service, _, _ := strings.Cut(a.Subject, "-")
		if open[service] == nil {
			open[service] = map[string]bool{}
		}
		if open[service][a.Subject] == a.Kind.beginsFault() {
			t.Fatalf("seed %d: %v does not fit the state of its instance", cfg.Seed, a)
		}
		if !a.Kind.beginsFault() {
			delete(open[service], a.Subject)
			continue
		}
		open[service][a.Subject] = true
		if len(open[service]) > 1 && a.Losses != DoubleLoss {
			t.Fatalf("seed %d: %v is a second loss in a cell", cfg.Seed, a)
		}
	}
	for service, instances := range open {
		if len(instances) > 0 {
			t.Fatalf("seed %d: faults of %s have no end: %v", cfg.Seed, service, instances)
		}
	}
}

func TestPlansDrawEveryKind(t *testing.T) {
	cfg := testConfig(3)
	cfg.Duration = 30 * time.Minute
	kinds := map[Kind]bool{}
	for _, c := range Counts(Generate(cfg)) {
		kinds[c.Kind] = true
	}
	for _, k := range []Kind{Kill, PauseDaemon, PauseTarget, Drain, Cut, Log, Race} {
		if !kinds[k] {
			t.Errorf("no %s in half an hour", k)
		}
	}
}

func TestParseReadsWhatStringWrites(t *testing.T) {
	plan := Generate(testConfig(5))
	var text strings.Builder
	for _, a := range plan {
		text.WriteString(a.String() + "\n")
	}
	parsed, err := Parse(strings.NewReader(text.String()))
	if err != nil {
		t.Fatal(err)
	}
	if len(parsed) != len(plan) {
		t.Fatalf("%d of %d actions were read", len(parsed), len(plan))
	}
	for i := range plan {
		if parsed[i].String() != plan[i].String() {
			t.Fatalf("%v was read as %v", plan[i], parsed[i])
		}
	}
}

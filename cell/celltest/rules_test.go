package celltest

import (
	"path/filepath"
	"testing"
)

// maxSearchSteps limits the search for a violation of a disabled rule if its trace
// no longer causes one.
const maxSearchSteps = 2_000_000

// TestDisabledRulesAreDetected guards against checks that detect nothing. It
// replays a trace for each rule of the protocol that can be disabled. The
// schedule must violate an invariant with the rule disabled, and none with the
// rule enabled.
func TestDisabledRulesAreDetected(t *testing.T) {
	for _, rule := range ProtocolRules {
		t.Run(rule.Name, func(t *testing.T) {
			s := readTraceFile(t, filepath.Join("testdata", "rules", rule.Name+".trace"))
			if s.Rule != rule.Name {
				t.Fatalf("the trace disables rule %q", s.Rule)
			}
			if r := Run(CellOptions(), s); r.Violation == nil {
				searchViolation(t, rule.Name)
			}
			sound := *s
			sound.Rule = ""
			if r := Run(CellOptions(), &sound); r.Violation != nil {
				t.Fatalf("with the rule enabled: %v", r.Violation)
			}
		})
	}
}

// searchViolation fails unless a random world violates an invariant with the
// rule disabled.
func searchViolation(t *testing.T, rule string) {
	soak := Soak{Options: CellOptions(), Seed: 1, Steps: maxSearchSteps, Profile: Corner, Rule: rule, Workers: 4}
	if _, failure := soak.Run(); failure == nil {
		t.Errorf("no violation in %d steps", maxSearchSteps)
	}
}

// TestInvariantsCanFail checks that the disabled rules together violate every
// invariant except NoPanic, which a fake machine violates in
// TestCheckerNoticesFlaws.
func TestInvariantsCanFail(t *testing.T) {
	violated := make(map[Invariant]bool)
	for _, rule := range ProtocolRules {
		s := readTraceFile(t, filepath.Join("testdata", "rules", rule.Name+".trace"))
		if r := Run(CellOptions(), s); r.Violation != nil {
			violated[r.Violation.Invariant] = true
		}
	}
	for _, inv := range []Invariant{OneHolder, TokensGrow, AcknowledgedStays, InsideLease, SamePrefix, NoCutWork, ServedAgain, NoLapse} {
		if !violated[inv] {
			t.Errorf("no disabled rule violates %s", inv)
		}
	}
}

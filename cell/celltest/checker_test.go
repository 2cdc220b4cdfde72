package celltest

import (
	"strings"
	"testing"
)

func fakeSchedule() *Schedule {
	return &Schedule{Seed: 7, Profile: Single, Size: 3, Faults: []Fault{{At: 40e9, Dur: 1e9, Kind: LogDown}}}
}

// A fake machine without a flaw must not violate an invariant.
func TestFakeWithoutFlawViolatesNothing(t *testing.T) {
	r := Run(fakeOptions(3, sound), fakeSchedule())
	if r.Violation != nil {
		t.Fatal(r.Violation)
	}
	if r.Steps < 1000 {
		t.Fatalf("only %d steps", r.Steps)
	}
}

// Each flaw of the fake machine must be reported as a violation of its invariant.
func TestCheckerNoticesFlaws(t *testing.T) {
	cases := []struct {
		name string
		flaw flaw
		prof Profile
		want Invariant
	}{
		{"two holders", twoHolders, Single, OneHolder},
		{"a token decreases", tokenDecreases, Single, TokensGrow},
		{"a grant is lost", losesGrants, Single, AcknowledgedStays},
		{"readers disagree", rolesDiffer, Single, SamePrefix},
		{"a lease expires", leaseExpires, Single, NoLapse},
		{"a range stays without an owner", leaseExpires, Chaos, ServedAgain},
		{"a lease is too long", leaseTooLong, Single, InsideLease},
		{"a release interrupts requests", interruptsWork, Single, NoCutWork},
		{"a planned stop interrupts requests", leavesImmediately, Chaos, NoCutWork},
		{"a leaving instance admits requests", keepsAdmitting, Single, NoCutWork},
		{"a panic", panics, Single, NoPanic},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := fakeSchedule()
			s.Profile = tc.prof
			if tc.flaw == leavesImmediately || tc.flaw == keepsAdmitting {
				s.Faults = append(s.Faults, Fault{At: 30e9, Dur: 8e9, Kind: Leave, From: Slot(1)})
			}
			r := Run(fakeOptions(3, tc.flaw), s)
			if r.Violation == nil || r.Violation.Invariant != tc.want {
				t.Fatalf("got %v, want a violation of %s", r.Violation, tc.want)
			}
		})
	}
}

func TestRunsRepeat(t *testing.T) {
	a := Run(fakeOptions(3, twoHolders), fakeSchedule())
	b := Run(fakeOptions(3, twoHolders), fakeSchedule())
	if a.Steps != b.Steps || a.Violation.Error() != b.Violation.Error() {
		t.Fatalf("runs of one schedule differ: %v and %v", a.Violation, b.Violation)
	}
}

func TestTraceIsReadBack(t *testing.T) {
	soak := Soak{Seed: 3}
	for i := int64(0); i < 50; i++ {
		s := soak.NewSchedule(i)
		var first, second strings.Builder
		if err := WriteTrace(&first, s); err != nil {
			t.Fatal(err)
		}
		back, err := ReadTrace(strings.NewReader(first.String()))
		if err != nil {
			t.Fatal(err)
		}
		if err := WriteTrace(&second, back); err != nil {
			t.Fatal(err)
		}
		if first.String() != second.String() {
			t.Fatalf("trace changed:\n%s\n%s", first.String(), second.String())
		}
	}
}

func TestShrinkKeepsTheViolation(t *testing.T) {
	opts := fakeOptions(3, twoHolders)
	s := fakeSchedule()
	s.Profile = Chaos
	s.Faults = append(s.Faults, Fault{At: 50e9, Dur: 3e9, Kind: Loss, Percent: 10}, Fault{At: 60e9, Dur: 3e9, Kind: Duplicate, Percent: 10})
	r := Run(opts, s)
	if r.Violation == nil {
		t.Fatal("no violation to shrink")
	}
	small, v := Shrink(opts, s, r.Violation, 100)
	if len(small.Faults) != 0 || v.Invariant != r.Violation.Invariant {
		t.Fatalf("shrunk to %d faults and %v", len(small.Faults), v)
	}
}

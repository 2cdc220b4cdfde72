package cli

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platformlog/logtest"
)

var update = flag.Bool("update", false, "rewrite the expected output in testdata")

const otherReports = "service: reports\ntargets: {slots: 1, connections: 1}\nrequests: [{method: GET, timeout: 1s}]\n"

const sampleServices = "../deploy/perizia/services"

// Guards against examples in the help that fail or have no effect.
func TestExamplesWork(t *testing.T) {
	d := newDeployment(t)
	replace := d.sampleNames(t)
	for _, command := range commandOrder {
		for _, line := range examples[command] {
			command := replace.Replace(strings.TrimPrefix(line, "parsley "))
			if code, out := d.run(command); code != ExitOK {
				t.Errorf("%s: exit code %d\n%s", line, code, out)
			}
			if strings.HasPrefix(line, "parsley bench") {
				continue // its output is CSV
			}
			if _, out := d.run(command + " --json"); !json.Valid([]byte(out)) {
				t.Errorf("%s --json prints\n%s", line, out)
			}
		}
	}
	if d.nodes[1].drained == nil || d.nodes[1].drained.Operator != "anna" || d.nodes[1].drained.Reason != "upgrade" {
		t.Errorf("the drained daemon received %+v", d.nodes[1].drained)
	}
	if c := d.nodes[2].confirmed; c == nil || c.Instance != "reports-2" || c.Incarnation != 1700000000000000000 {
		t.Errorf("the confirmation is %+v", c)
	}
}

func TestHelpShowsExamplesOfEachCommand(t *testing.T) {
	d := newDeployment(t)
	for _, command := range commandOrder {
		code, out := d.run(command + " --help")
		if code != ExitOK || !strings.Contains(out, examples[command][0]) {
			t.Errorf("%s --help: exit code %d\n%s", command, code, out)
		}
	}
}

func TestExitCodesAndRemedies(t *testing.T) {
	d := newDeployment(t)
	bad := filepath.Join(t.TempDir(), "parsley.yaml")
	if err := os.WriteFile(bad, []byte("service: NO\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	for line, want := range map[string]struct {
		code int
		text string
	}{
		"":                                   {ExitUsage, "Usage"},
		"nonsense":                           {ExitUsage, "invalid subcommand"},
		"check " + bad:                       {ExitBadFiles, "parsley.yaml:1: service:"},
		"check /nonexistent":                 {ExitFailure, "name an existing file"},
		"check":                              {ExitUsage, "--configuration"},
		"check --configuration " + bad:       {ExitBadFiles, "configuration: body:"},
		"check --configuration /nonexistent": {ExitFailure, "name an existing file"},
		"plan --log x " + bad:                {ExitBadFiles, "lower-case"},
		"plan " + sampleServices:             {ExitUsage, "--log"},
		"publish --log x " + sampleServices:  {ExitUsage, "--operator"},
		"status":                             {ExitUsage, "--admin"},
		"status --admin 127.0.0.1:1":         {ExitFailure, "listen.admin"},
		"explain --admin " + d.addrs[0] + " --service x k":                                {ExitFailure, "publish its file"},
		"audit --log x --key k":                                                           {ExitUsage, "--service"},
		"audit --log x --since yesterday":                                                 {ExitUsage, "2h"},
		"drain --daemons " + d.dir + " reports-1":                                         {ExitUsage, "--operator"},
		"drain --operator a --daemons " + d.dir + " x":                                    {ExitFailure, "parsley status"},
		"drain --operator a --admin 127.0.0.1:1 x":                                        {ExitFailure, "no daemon answers"},
		"confirm-loss --operator a --service reports --daemons " + d.dir + " reports-1#7": {ExitFailure, "so it is not lost"},
		"confirm-loss --operator a --service reports --daemons " + d.dir + " reports-1":   {ExitUsage, "INCARNATION"},
	} {
		code, out := d.run(line)
		if code != want.code || !strings.Contains(out, want.text) {
			t.Errorf("%q: exit code %d, want %d and %q\n%s", line, code, want.code, want.text, out)
		}
	}
}

func TestPublishReportsAConflict(t *testing.T) {
	d := newDeployment(t)
	plan := filepath.Join(t.TempDir(), "plan.json")
	mustRun(t, d, "plan --log x --out "+plan+" "+sampleServices)
	other := filepath.Join(t.TempDir(), "parsley.yaml")
	if err := os.WriteFile(other, []byte(otherReports), 0o644); err != nil {
		t.Fatal(err)
	}
	mustRun(t, d, "publish --log x --operator berta "+other)
	code, out := d.run("publish --log x --operator anna --plan " + plan + " " + sampleServices)
	if code != ExitConflict || !strings.Contains(out, "berta published it at 2026-01-31T08:00:00Z") || strings.Count(out, "accepted") != 2 {
		t.Errorf("exit code %d\n%s", code, out)
	}
	code, out = d.run("publish --log x --operator anna " + sampleServices)
	if code != ExitOK || strings.Count(out, "unchanged") != 2 || strings.Count(out, "accepted") != 1 {
		t.Errorf("publishing again: exit code %d\n%s", code, out)
	}
}

func TestPublishReportsAnUnsettledChange(t *testing.T) {
	d := newDeployment(t)
	d.log.SetFaults(logtest.Faults{LateRatio: 1, Late: time.Hour})
	code, out := d.run("publish --settle 1ms --log x --operator anna " + sampleServices)
	if code != ExitIndeterminate || !strings.Contains(out, "publishing again is safe") {
		t.Errorf("exit code %d\n%s", code, out)
	}
}

func TestOutputForPeople(t *testing.T) {
	d := newDeployment(t)
	for _, tc := range []struct{ name, line string }{
		{"plan", "plan --log x " + sampleServices},
		{"publish", "publish --log x --operator anna " + sampleServices},
		{"status", "status --ranges --daemons " + d.dir},
		{"explain", "explain --service reports --daemons " + d.dir + " via-roma-1"},
		{"audit", "audit --log x --region lombardy"},
	} {
		_, out := d.run(tc.line)
		compare(t, filepath.Join("testdata", tc.name+".txt"), out)
	}
}

func TestStatusListsFindings(t *testing.T) {
	d := newDeployment(t)
	d.nodes[0].status.Ready = false
	d.nodes[1].status.Config.Services[0].Version = 1
	d.nodes[2].status.Config.Offset = 2 // behind by a snapshot only, which is not a finding
	d.nodes[2].status.Log.Reachable = false
	for _, n := range d.nodes {
		n.status.Cells[0].Deputy = "-"
		n.status.Cells[0].Provisional = 1
		n.status.Cells[0].Ranges[3].Owner = "-"
	}
	code, out := d.run("status --daemons " + d.dir)
	if code != ExitDegraded {
		t.Errorf("exit code %d", code)
	}
	compare(t, "testdata/status-degraded.txt", out)
}

func TestStatusNamesALeaderThatDoesNotAnswer(t *testing.T) {
	d := newDeployment(t)
	d.nodes[1].status.Incarnation = 8
	code, out := d.run("status --admin 127.0.0.1:1 --admin " + d.addrs[1] + " --admin " + d.addrs[2])
	for _, want := range []string{
		"the leader reports-1#7 is not among the daemons that answer",
		"the deputy reports-2#7 was restarted since",
	} {
		if code != ExitDegraded || !strings.Contains(out, want) {
			t.Errorf("exit code %d, output does not say %q\n%s", code, want, out)
		}
	}
}

func mustRun(t *testing.T, d *deployment, line string) {
	t.Helper()
	if code, out := d.run(line); code != ExitOK {
		t.Fatalf("%s: exit code %d\n%s", line, code, out)
	}
}

func compare(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: output is\n%s\nwant\n%s", path, got, want)
	}
}

func TestCommandsReachTheirDaemonWhileAnotherOneIsPaused(t *testing.T) {
	d := newDeployment(t)
	d.nodes[0].paused = make(chan struct{})
	defer close(d.nodes[0].paused)
	mustRun(t, d, "--timeout 1s drain --operator anna --daemons "+d.dir+" reports-2")
	if d.nodes[1].drained == nil {
		t.Error("the drain did not reach its daemon")
	}
	mustRun(t, d, "--timeout 1s confirm-loss --operator anna --daemons "+d.dir+" --service reports reports-9#7")
	if d.nodes[1].confirmed == nil && d.nodes[2].confirmed == nil {
		t.Error("the confirmation reached no daemon")
	}
}

func TestReleaseReachesADaemonOfTheService(t *testing.T) {
	d := newDeployment(t)
	mustRun(t, d, "release --operator anna --daemons "+d.dir+" --service reports 12ab")
	if d.nodes[0].released == nil || d.nodes[0].released.Fingerprint != "12ab" || d.nodes[0].released.Operator != "anna" {
		t.Errorf("the command arrived as %+v", d.nodes[0].released)
	}
	if code, out := d.run("release --operator anna --daemons " + d.dir + " --service other 12ab"); code != ExitFailure || !strings.Contains(out, "no daemon of service other") {
		t.Errorf("exit code %d: %s", code, out)
	}
}

// An operator learns before writing a configuration which of its rows the daemons can't
// use, and which routes they serve without repeating requests.
func TestCheckOfConfigurationNamesItsRows(t *testing.T) {
	d := newDeployment(t)
	code, out := d.run("check --configuration testdata/bad-configuration.json")
	if code != ExitBadFiles {
		t.Errorf("exit code %d, want %d", code, ExitBadFiles)
	}
	compare(t, "testdata/check-configuration.txt", out)
}

// An operator learns what a configuration changes before writing it, and that a version which
// does not rise has no effect.
func TestCheckAgainstTheVersionInForce(t *testing.T) {
	d := newDeployment(t)
	const next, inForce = "../docs/operations/configuration.json", "../docs/operations/configuration-in-force.json"
	code, out := d.run("check --configuration " + next + " --against " + inForce)
	if code != ExitOK {
		t.Errorf("exit code %d", code)
	}
	compare(t, "testdata/check-against.txt", out)
	for line, want := range map[string]struct {
		code int
		text string
	}{
		"--configuration " + inForce + " --against " + next:            {ExitBadFiles, "version: 11 is not above the version in force (12)"},
		"--configuration " + next + " --against " + next:               {ExitBadFiles, "changes from version 12: 0"},
		"--configuration " + next + " --against cli_test.go":           {ExitBadFiles, "version in force: configuration: body:"},
		"--configuration " + next + " --against /nonexistent":          {ExitFailure, "name an existing file"},
		"--configuration " + next + " --targets printdesk=1":           {ExitBadFiles, "route order: maxAttempts: 2 is above the number of targets of service printdesk (1)"},
		"--configuration " + next + " --targets printdesk":             {ExitUsage, "SERVICE=NUMBER"},
		"--configuration " + next + " --targets printdesk=0":           {ExitUsage, "SERVICE=NUMBER"},
		"--against " + next + " " + sampleServices:                     {ExitUsage, "--configuration"},
		"--configuration cli_test.go --against " + inForce:             {ExitBadFiles, "configuration: body:"},
		"--json --configuration " + next + " --against " + inForce:     {ExitOK, `"kind": "removed"`},
		"--json --configuration " + inForce + " --targets catalogue=1": {ExitBadFiles, `"faults": [`},
	} {
		if code, out := d.run("check " + line); code != want.code || !strings.Contains(out, want.text) {
			t.Errorf("check %s: exit code %d, want %d and %q\n%s", line, code, want.code, want.text, out)
		}
	}
}

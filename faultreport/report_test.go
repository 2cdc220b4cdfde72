package faultreport

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/admin"
	"github.com/parsleystack/parsleystack/config"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/probe"
	"github.com/parsleystack/parsleystack/standin/target"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func event(seconds float64, kind, subject, detail string) Event {
	return Event{Time: at(seconds), Deployment: "perizia", Kind: kind, Subject: subject, Detail: detail}
}

func run(key, name string, from, to float64, completed bool) target.Run {
	r := target.Run{ID: key, Service: "reports", Key: key, Target: name, Start: at(from).UnixNano(), Completed: completed}
	if to > 0 {
		r.End = at(to).UnixNano()
	}
	return r
}

func input() *Input {
	return &Input{
		Name:     "perizia",
		Start:    start,
		Length:   20 * time.Second,
		Services: []Service{{Name: "reports", Instances: []string{"reports-1", "reports-2"}}},
	}
}

func kinds(violations []Violation) string {
	var all []string
	for _, v := range violations {
		all = append(all, v.Kind)
	}
	return strings.Join(all, " ")
}

func TestImbalanceAndMoves(t *testing.T) {
	in := input()
	in.Runs = []target.Run{
		run("a", "reports-1", 1, 1.1, true),
		run("b", "reports-1", 2, 2.1, true),
		run("c", "reports-1", 3, 3.1, true),
		run("d", "reports-2", 4, 4.1, true),
		run("a", "reports-2", 11, 11.1, true),
		run("d", "reports-2", 12, 12.1, true),
	}
	m := New(in, "reports").Metrics[0]
	if got := m.Imbalance.Keys; len(got) != 2 || got[0] != 1.5 || got[1] != 2 {
		t.Errorf("imbalance of keys is %v", got)
	}
	if len(m.Moves) != 1 || m.Moves[0].Key != "a" || m.MovedKeys != 1 || m.Keys != 4 {
		t.Errorf("moves are %v, %d of %d keys", m.Moves, m.MovedKeys, m.Keys)
	}
}

func TestOutagesAreWhatAllProbesMiss(t *testing.T) {
	in := input()
	gap := func(key string, from, length float64) probe.Gap {
		return probe.Gap{Key: key, Start: at(from), Length: time.Duration(length * float64(time.Second))}
	}
	in.Probes = [][]probe.Gap{
		{gap("a", 1, 3), gap("b", 5, 1), gap("a", 15, 2)},
		{gap("a", 2, 3), gap("a", 15, 2)},
	}
	in.Events = []Event{event(14, "kill", "reports-1", "two"), event(16, "start", "reports-1", "-")}
	r := New(in, "reports")
	if u := sumOutages(r.Outages, false); u.Outages != 1 || u.Total != 2*time.Second {
		t.Errorf("one at a time: %+v", u)
	}
	if u := sumOutages(r.Outages, true); u.Outages != 1 || u.Total != 2*time.Second {
		t.Errorf("two at a time: %+v", u)
	}
	if c := r.Causes; len(c) != 2 || c[0].Kind != noFault && c[1].Kind != noFault || c[0].Sum.Outages != 1 {
		t.Errorf("causes are %+v", c)
	}
}

func TestDrainsThatCutRequestsAreViolations(t *testing.T) {
	drain := []Event{event(5, "drain", "reports-1", "one"), event(6, KindDrained, "reports-1", "-")}
	kill := append([]Event{event(5.2, "kill", "reports-2", "one")}, drain...)
	for name, c := range map[string]struct {
		events []Event
		run    target.Run
		want   string
	}{
		"ended":             {drain, run("a", "reports-1", 4.9, 5.1, true), ""},
		"killed":            {drain, run("a", "reports-1", 5.5, 0, false), CutByDrain},
		"canceled":          {drain, run("a", "reports-1", 4.9, 5.1, false), CutByDrain},
		"ended before":      {drain, run("a", "reports-1", 4, 4.5, false), ""},
		"of another target": {drain, run("a", "reports-2", 5.5, 0, false), ""},
		"another fault":     {kill, run("a", "reports-1", 4.9, 5.1, false), ""},
	} {
		in := input()
		in.Events = c.events
		in.Runs = []target.Run{c.run}
		if got := kinds(New(in, "reports").Violations); got != c.want {
			t.Errorf("%s: violations are %q, want %q", name, got, c.want)
		}
	}
}

func TestLastRequestOfADrainedTarget(t *testing.T) {
	in := input()
	in.Events = []Event{event(5, "drain", "reports-1", "one"), event(7, KindDrained, "reports-1", "-")}
	in.Runs = []target.Run{
		run("a", "reports-1", 6.5, 6.6, true),
		run("b", "reports-2", 6.8, 6.9, true),
		run("a", "reports-1", 15, 15.1, true),
	}
	if d := New(in, "reports").Drains; d.LastRequestStart != 1500*time.Millisecond || d.Longest != 2*time.Second {
		t.Errorf("drains are %+v", d)
	}
}

func published(race, operator string, kind config.ResultKind, version platformlog.Offset) Publish {
	r := config.Result{Service: "reports", Kind: kind, Version: version}
	return Publish{Race: race, Operator: operator, Results: []config.Result{r}}
}

func inForce(version platformlog.Offset) admin.Status {
	services := []admin.ServiceVersion{{Service: "reports", Version: version}}
	return admin.Status{Config: admin.ConfigStatus{Services: services}}
}

func TestConfigurationViolations(t *testing.T) {
	accepted := published("1", "first", config.ResultAccepted, 3)
	lost := published("1", "second", config.ResultConflict, 0)
	for name, c := range map[string]struct {
		publishes []Publish
		daemons   []admin.Status
		want      string
	}{
		"in force":        {[]Publish{accepted, lost}, []admin.Status{inForce(3), inForce(3)}, ""},
		"lost":            {[]Publish{accepted}, []admin.Status{inForce(2), inForce(2)}, ConfigLost + " " + ConfigLost},
		"on some daemons": {[]Publish{accepted}, []admin.Status{inForce(3), inForce(2)}, ConfigLost},
		"two winners":     {[]Publish{accepted, published("1", "second", config.ResultAccepted, 4)}, []admin.Status{inForce(4)}, TwoWinners},
		"unknown version": {[]Publish{accepted}, []admin.Status{inForce(4)}, ConfigUnexpected},
		"unsettled":       {[]Publish{accepted, published("2", "first", config.ResultIndeterminate, 0)}, []admin.Status{inForce(4)}, ""},
	} {
		in := input()
		in.Publishes = c.publishes
		in.Status.Daemons = c.daemons
		if got := kinds(New(in, "reports").Violations); got != c.want {
			t.Errorf("%s: violations are %q, want %q", name, got, c.want)
		}
	}
}

func TestOlderConfigurationOfOneProcessIsAViolation(t *testing.T) {
	log := func(lines ...string) *Input {
		in := input()
		if err := in.readLog("reports-1", strings.NewReader(strings.Join(lines, "\n"))); err != nil {
			t.Fatal(err)
		}
		return in
	}
	newer, older, started := `{"event":4001,"offset":5}`, `{"event":4001,"offset":4}`, `{"event":1001}`
	if got := kinds(New(log(started, newer, older), "reports").Violations); got != ConfigReverted {
		t.Errorf("violations are %q", got)
	}
	if got := kinds(New(log(started, older, newer, "no log event", started, older), "reports").Violations); got != "" {
		t.Errorf("violations after a start are %q", got)
	}
}

func TestPlotIsWellFormed(t *testing.T) {
	in := input()
	in.Events = []Event{event(14, "kill", "reports-1", "two"), event(16, "start", "reports-1", "-"), event(3, "log", "log", `{"outage":true}`)}
	in.Runs = []target.Run{run("a", "reports-1", 1, 1.1, true), run("a", "reports-2", 11, 11.1, true)}
	var plot bytes.Buffer
	if err := New(in, "reports").WriteSVG(&plot); err != nil {
		t.Fatal(err)
	}
	d := xml.NewDecoder(&plot)
	height := 0
	for {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		e, ok := token.(xml.StartElement)
		if !ok {
			continue
		}
		if e.Name.Local == "svg" {
			height = number(e, "height")
		}
		if y := number(e, "y"); y > height {
			t.Errorf("<%s> at %d lies below the plot's height of %d", e.Name.Local, y, height)
		}
	}
}

// number returns a whole number of an element's attributes, 0 if it has none.
func number(e xml.StartElement, name string) int {
	for _, a := range e.Attr {
		if a.Name.Local == name {
			n, _ := strconv.Atoi(a.Value)
			return n
		}
	}
	return 0
}

package cli

import (
	"fmt"
	"strings"
	"time"

	"github.com/parsleystack/parsleystack/admin"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// maxTailAge is the age of the last complete read of the log above which status
// reports it.
const maxTailAge = 30 * time.Second

// findings returns the problems in a status that an operator should check.
func findings(out *statusOutput) []string {
	list := []string{}
	for _, u := range out.Unreachable {
		list = append(list, u.Error)
	}
	newest := newestVersions(out.Daemons)
	for _, d := range out.Daemons {
		list = append(list, daemonFindings(d, newest)...)
	}
	for _, cell := range mergeCells(out.Daemons) {
		list = append(list, cellFindings(&cell)...)
		list = append(list, roleFindings(&cell, out)...)
	}
	return list
}

// newestVersions returns the newest version of each service that is in force in
// any daemon. Offsets can't be compared instead: snapshots advance them without
// a change of configuration.
func newestVersions(daemons []*admin.Status) map[ident.Service]platformlog.Offset {
	newest := map[ident.Service]platformlog.Offset{}
	for _, d := range daemons {
		for _, s := range d.Config.Services {
			newest[s.Service] = max(newest[s.Service], s.Version)
		}
	}
	return newest
}

func daemonFindings(d *admin.Status, newest map[ident.Service]platformlog.Offset) []string {
	var list []string
	add := func(format string, a ...any) {
		list = append(list, string(d.Instance)+": "+fmt.Sprintf(format, a...))
	}
	if !d.Ready {
		add("the daemon accepts no requests of callers")
	}
	if d.Draining {
		add("a planned stop is under way")
	}
	if !d.Target.Ready {
		add("the target at %s is not ready", d.Target.Addr)
	}
	if d.Config.Fault != "" {
		add("%s", d.Config.Fault)
	}
	for _, s := range d.Config.Services {
		if s.Version < newest[s.Service] {
			add("version %d of %s is in force, another daemon has %d", s.Version, s.Service, newest[s.Service])
		}
		if s.Blocked != "" {
			add("%s", s.Blocked)
		}
	}
	if !d.Log.Reachable || d.Log.TailAge > maxTailAge {
		add("the log service at %s was last read to its end %v ago", d.Log.Addr, d.Log.TailAge.Round(time.Second))
	}
	for _, w := range d.Warnings {
		add("%s", w)
	}
	return list
}

func cellFindings(cell *admin.CellStatus) []string {
	var list []string
	name := fmt.Sprintf("cell %d of %s in %s", cell.Index, cell.Service, cell.Region)
	if cell.Leaderless {
		name = string(cell.Service)
	}
	if !cell.Leaderless && (cell.Leader == "" || cell.Leader == "-") {
		list = append(list, name+": there is no leader; see docs/operators on losing leader and deputy")
	}
	if !cell.Leaderless && len(cell.Members) > 1 && (cell.Deputy == "" || cell.Deputy == "-") {
		list = append(list, name+": there is no deputy")
	}
	if unowned := withoutOwner(cell); unowned > 0 {
		list = append(list, fmt.Sprintf("%s: %d of %d ranges have no owner", name, unowned, len(cell.Ranges)))
	}
	if cell.Provisional > 0 {
		list = append(list, fmt.Sprintf("%s: %d assignments are provisional until the log service answers", name, cell.Provisional))
	}
	return list
}

func withoutOwner(cell *admin.CellStatus) int {
	n := 0
	for _, r := range cell.Ranges {
		if r.Owner == "" || r.Owner == "-" {
			n++
		}
	}
	return n
}

// roleFindings reports a leader or a deputy whose process does not answer. Both
// stay in the log until the next claim.
func roleFindings(cell *admin.CellStatus, out *statusOutput) []string {
	var list []string
	for _, role := range []struct{ name, node string }{{"leader", cell.Leader}, {"deputy", cell.Deputy}} {
		problem := roleProblem(role.node, out)
		if problem != "" {
			list = append(list, fmt.Sprintf("cell %d of %s in %s: the %s %s %s", cell.Index, cell.Service, cell.Region, role.name, role.node, problem))
		}
	}
	return list
}

// roleProblem returns why the process, given as instance#incarnation, does not
// answer, or "" if it does or if that is not known.
func roleProblem(node string, out *statusOutput) string {
	instance, _, found := strings.Cut(node, "#")
	if !found {
		return ""
	}
	for _, d := range out.Daemons {
		if string(d.Instance) != instance {
			continue
		}
		if fmt.Sprintf("%s#%d", d.Instance, uint64(d.Incarnation)) != node {
			return "was restarted since"
		}
		return ""
	}
	if len(out.Unreachable) > 0 {
		return "is not among the daemons that answer"
	}
	return ""
}

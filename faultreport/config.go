package faultreport

import (
	"fmt"

	"github.com/parsleystack/parsleystack/config"
)

// initialPublish is the race ID of the publish at the start of the run.
const initialPublish = "0"

// Publishes counts the results of all publishes of a run. Races is the number of
// publish races; the initial publish is not one of them.
type Publishes struct {
	Races, Accepted, Lost, Indeterminate, Failed int
}

func publishes(in *Input) Publishes {
	var p Publishes
	races := map[string]bool{}
	for _, pub := range in.Publishes {
		if pub.Race != initialPublish {
			races[pub.Race] = true
		}
		if len(pub.Results) == 0 {
			p.Failed++
		}
		for _, r := range pub.Results {
			switch r.Kind {
			case config.ResultAccepted:
				p.Accepted++
			case config.ResultConflict:
				p.Lost++
			case config.ResultIndeterminate:
				p.Indeterminate++
			case config.ResultFailed:
				p.Failed++
			}
		}
	}
	p.Races = len(races)
	return p
}

// configViolations checks the publish races, the order in which daemons applied
// configurations, and the configuration of all daemons at the end of the run.
func configViolations(in *Input) []Violation {
	violations := raceViolations(in.Publishes)
	violations = append(violations, revertViolations(in.Configured)...)
	for _, u := range in.Status.Unreachable {
		violations = append(violations, Violation{Kind: Unreachable, Detail: u.Addr})
	}
	accepted, indeterminate := acceptedVersions(in.Publishes)
	for i := range in.Status.Daemons {
		d := &in.Status.Daemons[i]
		inForce := map[string]uint64{}
		for _, s := range d.Config.Services {
			inForce[string(s.Service)] = uint64(s.Version)
		}
		for service, version := range accepted {
			detail := fmt.Sprintf("%s runs with version %d of %s, but version %d was accepted", d.Instance, inForce[service], service, version)
			switch {
			case inForce[service] < version:
				violations = append(violations, Violation{Kind: ConfigLost, Detail: detail})
			case inForce[service] > version && !indeterminate[service]:
				violations = append(violations, Violation{Kind: ConfigUnexpected, Detail: detail})
			case inForce[service] != newestVersion(in, service):
				violations = append(violations, Violation{Kind: ConfigLost, Detail: detail + ", and another daemon runs with a newer one"})
			}
		}
	}
	return violations
}

func raceViolations(all []Publish) []Violation {
	winners := map[string]string{}
	var violations []Violation
	for _, p := range all {
		for _, r := range p.Results {
			if r.Kind != config.ResultAccepted {
				continue
			}
			key := p.Race + " " + string(r.Service)
			if other, found := winners[key]; found {
				violations = append(violations, Violation{Kind: TwoWinners, Detail: fmt.Sprintf("%s: %s and %s", key, other, p.Operator)})
			}
			winners[key] = p.Operator
		}
	}
	return violations
}

func revertViolations(changes []ConfigChange) []Violation {
	last := map[string]uint64{}
	var violations []Violation
	for _, c := range changes {
		if c.DaemonStarted {
			last[c.Daemon] = 0
			continue
		}
		if c.Offset < last[c.Daemon] {
			violations = append(violations, Violation{Kind: ConfigReverted, Detail: fmt.Sprintf("%s replaced the configuration of offset %d by that of offset %d", c.Daemon, last[c.Daemon], c.Offset)})
		}
		last[c.Daemon] = c.Offset
	}
	return violations
}

// acceptedVersions returns the newest accepted version of each service, and
// the services with a publish of indeterminate outcome, which may have been
// accepted.
func acceptedVersions(all []Publish) (accepted map[string]uint64, indeterminate map[string]bool) {
	accepted, indeterminate = map[string]uint64{}, map[string]bool{}
	for _, p := range all {
		for _, r := range p.Results {
			service := string(r.Service)
			switch r.Kind {
			case config.ResultAccepted:
				accepted[service] = max(accepted[service], uint64(r.Version))
			case config.ResultIndeterminate:
				indeterminate[service] = true
			}
		}
	}
	return accepted, indeterminate
}

// newestVersion returns the newest version of a service that any daemon runs with.
func newestVersion(in *Input, service string) uint64 {
	var version uint64
	for i := range in.Status.Daemons {
		for _, s := range in.Status.Daemons[i].Config.Services {
			if string(s.Service) == service {
				version = max(version, uint64(s.Version))
			}
		}
	}
	return version
}

package faultreport

import (
	"fmt"

	"github.com/parsleystack/parsleystack/config"
)

// firstPublish is the race of the publish that the run began with.
const firstPublish = "0"

// Publishes counts the results of publishes.
type Publishes struct {
	Races, Accepted, Lost, Unsettled, Failed int
}

func publishes(in *Input) Publishes {
	var p Publishes
	races := map[string]bool{}
	for _, pub := range in.Publishes {
		if pub.Race != firstPublish {
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
				p.Unsettled++
			case config.ResultFailed:
				p.Failed++
			}
		}
	}
	p.Races = len(races)
	return p
}

// configViolations judges races, the order of configurations in force, and
// the state at the end.
func configViolations(in *Input) []Violation {
	violations := raceViolations(in.Publishes)
	violations = append(violations, revertViolations(in.Configured)...)
	for _, u := range in.Status.Unreachable {
		violations = append(violations, Violation{Kind: Unreachable, Detail: u.Addr})
	}
	accepted, uncertain := acceptedVersions(in.Publishes)
	for i := range in.Status.Daemons {
		d := &in.Status.Daemons[i]
		inForce := map[string]uint64{}
		for _, s := range d.Config.Services {
			inForce[string(s.Service)] = uint64(s.Version)
		}
		for service, version := range accepted {
			detail := fmt.Sprintf("%s has version %d of %s in force, version %d was accepted", d.Instance, inForce[service], service, version)
			switch {
			case inForce[service] < version:
				violations = append(violations, Violation{Kind: ConfigLost, Detail: detail})
			case inForce[service] > version && !uncertain[service]:
				violations = append(violations, Violation{Kind: ConfigUnexpected, Detail: detail})
			case inForce[service] != newest(in, service):
				violations = append(violations, Violation{Kind: ConfigLost, Detail: detail + ", another daemon has a newer one"})
			}
		}
	}
	return violations
}

func raceViolations(all []Publish) []Violation {
	won := map[string]string{}
	var violations []Violation
	for _, p := range all {
		for _, r := range p.Results {
			if r.Kind != config.ResultAccepted {
				continue
			}
			key := p.Race + " " + string(r.Service)
			if other, taken := won[key]; taken {
				violations = append(violations, Violation{Kind: TwoWinners, Detail: fmt.Sprintf("%s: %s and %s", key, other, p.Operator)})
			}
			won[key] = p.Operator
		}
	}
	return violations
}

func revertViolations(changes []ConfigChange) []Violation {
	last := map[string]uint64{}
	var violations []Violation
	for _, c := range changes {
		if c.Fresh {
			last[c.Daemon] = 0
			continue
		}
		if c.Offset < last[c.Daemon] {
			violations = append(violations, Violation{Kind: ConfigReverted, Detail: fmt.Sprintf("%s went from offset %d to %d", c.Daemon, last[c.Daemon], c.Offset)})
		}
		last[c.Daemon] = c.Offset
	}
	return violations
}

// acceptedVersions returns the newest accepted version of each service, and
// the services of which a publish may have been accepted unseen.
func acceptedVersions(all []Publish) (accepted map[string]uint64, uncertain map[string]bool) {
	accepted, uncertain = map[string]uint64{}, map[string]bool{}
	for _, p := range all {
		for _, r := range p.Results {
			service := string(r.Service)
			switch r.Kind {
			case config.ResultAccepted:
				accepted[service] = max(accepted[service], uint64(r.Version))
			case config.ResultIndeterminate:
				uncertain[service] = true
			}
		}
	}
	return accepted, uncertain
}

// newest returns the newest version of a service that any daemon has in force.
func newest(in *Input, service string) uint64 {
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

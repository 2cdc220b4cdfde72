package cli

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/routetable"
)

// configurationCheck is the result of checking a configuration of the platform's
// operator.
type configurationCheck struct {
	Version  uint64   `json:"version"`
	Routes   int      `json:"routes"`
	Services int      `json:"services"`
	Faults   []string `json:"faults"`   // rows that the daemons can't use, or that don't do what they say
	Warnings []string `json:"warnings"` // rows that they use with restrictions, or that may not be intended
	// Against is the version in force, and Changes the differences from it, if one is given.
	Against uint64                         `json:"against,omitempty"`
	Changes []platform.ConfigurationChange `json:"changes,omitempty"`
}

// checkConfiguration checks the configuration that the arguments name. Its error means that
// a file can't be read.
func checkConfiguration(a *CheckArgs, targets map[ident.Service]int) (*configurationCheck, error) {
	value, err := os.ReadFile(a.Configuration)
	if err != nil {
		return nil, fmt.Errorf("read the configuration: %w; name an existing file", err)
	}
	cfg, err := platform.DecodeConfiguration(value)
	out := &configurationCheck{
		Version: uint64(cfg.Version), Routes: len(cfg.Routes), Services: len(cfg.Services),
		Faults: texts(cfg.RowErrors), Warnings: texts(cfg.UnknownKinds),
	}
	decoded := err == nil
	if !decoded {
		out.Faults = append(out.Faults, err.Error())
	}
	faults, warnings := platform.CheckConfiguration(value, targets)
	out.Faults, out.Warnings = append(out.Faults, lines(faults)...), append(out.Warnings, lines(warnings)...)
	if a.Against == "" {
		return out, nil
	}
	inForce, err := os.ReadFile(a.Against)
	if err != nil {
		return nil, fmt.Errorf("read the version in force: %w; name an existing file", err)
	}
	if decoded {
		out.compare(inForce, value, cfg.Version)
	}
	return out, nil
}

// compare records the differences from the version in force.
func (o *configurationCheck) compare(inForce, value []byte, version routetable.Version) {
	old, err := platform.DecodeConfiguration(inForce)
	if err != nil {
		o.Faults = append(o.Faults, "version in force: "+err.Error())
		return
	}
	o.Against = uint64(old.Version)
	if version <= old.Version {
		o.Faults = append(o.Faults, fmt.Sprintf("version: %d is not above the version in force (%d), so that no daemon applies it; write a higher one", version, old.Version))
	}
	if o.Changes, err = platform.CompareConfigurations(inForce, value); err != nil {
		o.Faults = append(o.Faults, err.Error())
	}
}

// targetCounts decodes the values of --targets.
func targetCounts(values []string) (map[ident.Service]int, error) {
	counts := make(map[ident.Service]int)
	for _, v := range values {
		service, number, ok := strings.Cut(v, "=")
		n, err := strconv.Atoi(number)
		if !ok || service == "" || err != nil || n < 1 {
			return nil, fmt.Errorf("--targets %s is not SERVICE=NUMBER; name a service and how many targets it has", v)
		}
		counts[ident.Service(service)] = n
	}
	return counts, nil
}

// texts returns the messages of errors. It is never nil, so that JSON has a list.
func texts(errs []error) []string {
	list := make([]string, 0, len(errs))
	for _, err := range errs {
		list = append(list, err.Error())
	}
	return list
}

// lines returns each value on one line.
func lines[T fmt.Stringer](values []T) []string {
	list := make([]string, 0, len(values))
	for _, v := range values {
		list = append(list, v.String())
	}
	return list
}

func (c *runner) printConfiguration(out *configurationCheck) {
	for _, f := range out.Faults {
		c.printf("%s\n", f)
	}
	for _, w := range out.Warnings {
		c.printf("warning: %s\n", w)
	}
	if out.Against > 0 {
		c.printf("changes from version %d: %d\n", out.Against, len(out.Changes))
	}
	for _, change := range out.Changes {
		c.printf("  %s\n", change)
	}
	c.printf("configuration version %d: %d routes and %d services, %d faults, %d warnings\n", out.Version, out.Routes, out.Services, len(out.Faults), len(out.Warnings))
}

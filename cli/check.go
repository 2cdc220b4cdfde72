package cli

import (
	"errors"

	"github.com/parsleystack/parsleystack/config"
	"github.com/parsleystack/parsleystack/yamlfile"
)

// checkOutput is what check --json prints.
type checkOutput struct {
	Services []string               `json:"services"`
	Daemons  []string               `json:"daemons,omitempty"`
	Faults   []*yamlfile.FieldError `json:"faults"`
	// Configuration is set if a configuration of the platform was checked.
	Configuration *configurationCheck `json:"configuration,omitempty"`
}

func (c *runner) check(a *CheckArgs) (int, error) {
	if len(a.Paths) == 0 && a.Configuration == "" {
		return ExitUsage, errors.New("nothing to check: name a PATH or --configuration FILE")
	}
	if a.Configuration == "" && (a.Against != "" || len(a.Targets) > 0) {
		return ExitUsage, errors.New("--against and --targets need --configuration FILE")
	}
	targets, err := targetCounts(a.Targets)
	if err != nil {
		return ExitUsage, err
	}
	out := checkOutput{Faults: []*yamlfile.FieldError{}}
	if err := out.checkServices(a.Paths); err != nil {
		return ExitFailure, err
	}
	if a.Dir != "" {
		daemons, err := loadDaemons(a.Dir)
		if err := out.addFaults(err); err != nil {
			return ExitFailure, err
		}
		for _, d := range daemons {
			out.Daemons = append(out.Daemons, string(d.Instance))
		}
	}
	if a.Configuration != "" {
		if out.Configuration, err = checkConfiguration(a, targets); err != nil {
			return ExitFailure, err
		}
	}
	c.printCheck(&out)
	if len(out.Faults) > 0 || out.Configuration != nil && len(out.Configuration.Faults) > 0 {
		return ExitBadFiles, nil
	}
	return ExitOK, nil
}

// checkServices records the services of the given files and their faults.
func (o *checkOutput) checkServices(paths []string) error {
	if len(paths) == 0 {
		return nil
	}
	candidates, err := config.Collect(paths...)
	if err := o.addFaults(err); err != nil {
		return err
	}
	for i := range candidates {
		o.Services = append(o.Services, string(candidates[i].Spec.Name))
	}
	return nil
}

// addFaults records the faults of files and returns any other error.
func (o *checkOutput) addFaults(err error) error {
	var faults yamlfile.Errors
	if errors.As(err, &faults) {
		o.Faults = append(o.Faults, faults...)
		return nil
	}
	return err
}

func (c *runner) printCheck(out *checkOutput) {
	if c.args.JSON {
		c.printJSON(out)
		return
	}
	if out.Configuration != nil {
		c.printConfiguration(out.Configuration)
	}
	for _, f := range out.Faults {
		c.printf("%v\n", f)
	}
	if len(out.Faults) > 0 {
		c.printf("%d faults\n", len(out.Faults))
		return
	}
	if len(out.Services)+len(out.Daemons) == 0 && out.Configuration != nil {
		return
	}
	c.printf("%d services and %d daemons, no faults\n", len(out.Services), len(out.Daemons))
}

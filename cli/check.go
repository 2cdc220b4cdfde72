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
}

func (c *runner) check(a *CheckArgs) (int, error) {
	out := checkOutput{Faults: []*yamlfile.FieldError{}}
	candidates, err := config.Collect(a.Paths...)
	if err := out.addFaults(err); err != nil {
		return ExitFailure, err
	}
	for i := range candidates {
		out.Services = append(out.Services, string(candidates[i].Spec.Name))
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
	c.printCheck(&out)
	if len(out.Faults) > 0 {
		return ExitBadFiles, nil
	}
	return ExitOK, nil
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
	for _, f := range out.Faults {
		c.printf("%v\n", f)
	}
	if len(out.Faults) > 0 {
		c.printf("%d faults\n", len(out.Faults))
		return
	}
	c.printf("%d services and %d daemons, no faults\n", len(out.Services), len(out.Daemons))
}

package cli

import (
	"fmt"
	"os"

	"github.com/parsleystack/parsleystack/platform"
)

// configurationCheck is the result of checking a configuration of the platform's
// operator.
type configurationCheck struct {
	Version  uint64   `json:"version"`
	Routes   int      `json:"routes"`
	Services int      `json:"services"`
	Faults   []string `json:"faults"`   // rows that the daemons can't use
	Warnings []string `json:"warnings"` // rows that they use with restrictions
}

// checkConfiguration decodes a configuration as the daemons do.
func checkConfiguration(path string) (*configurationCheck, error) {
	value, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the configuration: %w; name an existing file", err)
	}
	cfg, err := platform.DecodeConfiguration(value)
	out := &configurationCheck{
		Version: uint64(cfg.Version), Routes: len(cfg.Routes), Services: len(cfg.Services),
		Faults: texts(cfg.RowErrors), Warnings: texts(cfg.UnknownKinds),
	}
	if err != nil {
		out.Faults = append(out.Faults, err.Error())
	}
	return out, nil
}

// texts returns the messages of errors. It is never nil, so that JSON has a list.
func texts(errs []error) []string {
	list := make([]string, 0, len(errs))
	for _, err := range errs {
		list = append(list, err.Error())
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
	c.printf("configuration version %d: %d routes and %d services, %d faults, %d warnings\n", out.Version, out.Routes, out.Services, len(out.Faults), len(out.Warnings))
}

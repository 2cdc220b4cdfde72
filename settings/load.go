package settings

import (
	"fmt"
	"os"

	"github.com/parsleystack/parsleystack/yamlfile"
)

// Load reads and checks the settings file at path. All errors in the content of
// the file are returned together as yamlfile.Errors.
func Load(path string) (*Daemon, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: the file can't be read: %w; name an existing file with --settings", err)
	}
	return Parse(path, data)
}

// Parse decodes and checks data, the content of the settings file at path. The
// path is used in error messages only.
func Parse(path string, data []byte) (*Daemon, error) {
	d := Defaults()
	file, err := yamlfile.Decode(path, data, d)
	if err != nil {
		return nil, err
	}
	c := yamlfile.NewChecker(file)
	d.check(c)
	if err := c.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Daemon) check(c *yamlfile.Checker) {
	c.Name("instance", string(d.Instance), "instance")
	c.Name("region", string(d.Region), "region")
	c.Name("availability_zone", string(d.Zone), "availability zone")
	c.Name("service", string(d.Service), "service")
	d.Listen.check(c)
	d.Target.check(c)
	d.Log.check(c)
	d.TLS.check(c)
	d.Lease.check(c, d.Log.Retention)
	d.Balance.check(c)
	d.Limits.check(c)
	d.LogLevel.check(c)
}

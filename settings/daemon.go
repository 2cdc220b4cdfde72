// Package settings reads the settings of one daemon from a YAML file. A file is
// rejected as a whole if it contains an unknown field or a value out of range;
// every error has the file, line, field and remedy. The configuration of services
// is not part of the settings, see packages service and config.
package settings

import "github.com/parsleystack/parsleystack/ident"

// Daemon holds the settings of one daemon.
type Daemon struct {
	// Instance is the name of the instance that the daemon runs on, unique in
	// the deployment.
	Instance ident.Instance `yaml:"instance"`
	// Region is the region of the instance.
	Region ident.Region `yaml:"region"`
	// Zone is the availability zone of the instance.
	Zone ident.Zone `yaml:"availability_zone"`
	// Service is the service that the daemon's target belongs to.
	Service ident.Service `yaml:"service"`

	Listen   Listen   `yaml:"listen"`
	Target   Target   `yaml:"target"`
	Log      Log      `yaml:"platform_log"`
	TLS      TLS      `yaml:"tls"`
	Lease    Lease    `yaml:"lease"`
	Balance  Balance  `yaml:"balance"`
	Limits   Limits   `yaml:"limits"`
	LogLevel LogLevel `yaml:"log_level"`
}

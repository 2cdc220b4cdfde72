package faultreport

import (
	"time"

	"github.com/parsleystack/parsleystack/admin"
	"github.com/parsleystack/parsleystack/config"
	"github.com/parsleystack/parsleystack/probe"
	"github.com/parsleystack/parsleystack/standin/target"
)

// Input is the recorded data of a run for one deployment.
type Input struct {
	Name       string
	Start      time.Time // of the load
	Length     time.Duration
	Services   []Service
	Events     []Event
	Runs       []target.Run
	Probes     [][]probe.Gap // by probe; all probes request the same keys
	Publishes  []Publish
	Configured []ConfigChange
	Status     Status
}

// Service is one service of the deployment.
type Service struct {
	Name      string
	Instances []string
}

// Publish is one call of parsley publish. Results is empty if the call produced
// no result.
type Publish struct {
	Race     string // ID of the publish race, the same for all its calls
	Operator string
	Results  []config.Result `json:"results"`
}

// ConfigChange is one configuration event of a daemon's log: a start of the daemon,
// or a configuration that it applied.
type ConfigChange struct {
	Daemon        string
	DaemonStarted bool // the daemon started and has no configuration yet
	Offset        uint64
}

// Status is the output of parsley status at the end of the run.
type Status struct {
	Daemons     []admin.Status    `json:"daemons"`
	Unreachable []UnreachableNode `json:"unreachable"`
}

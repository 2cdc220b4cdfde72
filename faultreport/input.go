package faultreport

import (
	"time"

	"github.com/parsleystack/parsleystack/admin"
	"github.com/parsleystack/parsleystack/config"
	"github.com/parsleystack/parsleystack/probe"
	"github.com/parsleystack/parsleystack/standin/target"
)

// Input is what a run has left behind of one deployment.
type Input struct {
	Name       string
	Start      time.Time // of the load
	Length     time.Duration
	Services   []Service
	Events     []Event
	Runs       []target.Run
	Probes     [][]probe.Gap // of each probe; all watch the same keys
	Publishes  []Publish
	Configured []ConfigChange
	Status     Status
}

// Service is one service of the deployment.
type Service struct {
	Name      string
	Instances []string
}

// Publish is one call of parsley publish. Its results are empty if it ended
// without any.
type Publish struct {
	Race     string // calls of one race share it
	Operator string
	Results  []config.Result `json:"results"`
}

// ConfigChange is a configuration that a daemon has put into force.
type ConfigChange struct {
	Daemon string
	Fresh  bool // the daemon has just started and has none
	Offset uint64
}

// Status is the answer of parsley status at the end of the run.
type Status struct {
	Daemons     []admin.Status    `json:"daemons"`
	Unreachable []UnreachableNode `json:"unreachable"`
}

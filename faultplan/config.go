package faultplan

import "time"

// Cell is a group of instances of one service that the claimed tolerance
// counts for.
type Cell struct {
	Service   string
	Instances []string
}

// Deployment is one deployment under failure.
type Deployment struct {
	Name  string
	Cells []Cell
}

// Config holds the parameters of a plan.
type Config struct {
	Seed        uint64
	Duration    time.Duration // length of the load
	Warmup      time.Duration // time before the first fault
	Recovery    time.Duration // time after the last fault
	Settle      time.Duration // shortest time between two faults of a cell
	MinLength   time.Duration // shortest fault
	MaxLength   time.Duration // longest fault
	TwoShare    float64       // share of faults that take two instances of a cell, 0 to 1
	Links       bool          // cut links
	Deployments []Deployment
}

// Defaults returns a Config whose pauses outlast a lease of two seconds.
func Defaults() Config {
	return Config{
		Seed:      1,
		Duration:  3 * time.Minute,
		Warmup:    5 * time.Second,
		Recovery:  20 * time.Second,
		Settle:    4 * time.Second,
		MinLength: 3 * time.Second,
		MaxLength: 8 * time.Second,
		TwoShare:  0.12,
	}
}

package faultplan

import "time"

// Cell is a group of instances of one service. The guaranteed fault tolerance
// applies to each cell separately.
type Cell struct {
	Service   string
	Instances []string
}

// Deployment is a deployment that faults are planned for.
type Deployment struct {
	Name  string
	Cells []Cell
}

// Config holds the parameters of a plan.
type Config struct {
	Seed            uint64
	Duration        time.Duration // length of the load
	Warmup          time.Duration // time before the first fault
	Recovery        time.Duration // time after the last fault
	MinInterval     time.Duration // minimum time between two faults of a cell
	MinLength       time.Duration // minimum length of a fault
	MaxLength       time.Duration // maximum length of a fault
	DoubleLossShare float64       // share of faults that are a double loss, 0 to 1
	CutLinks        bool          // plan cuts of links between daemons
	Deployments     []Deployment
}

// Defaults returns the default Config. Its faults and the intervals between them
// are longer than a lease of 2 s.
func Defaults() Config {
	return Config{
		Seed:            1,
		Duration:        3 * time.Minute,
		Warmup:          5 * time.Second,
		Recovery:        20 * time.Second,
		MinInterval:     4 * time.Second,
		MinLength:       3 * time.Second,
		MaxLength:       8 * time.Second,
		DoubleLossShare: 0.12,
	}
}

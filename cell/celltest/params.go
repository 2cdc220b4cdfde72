package celltest

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

const (
	// ServeAgain is the time within which the ranges of a lost owner are served again.
	ServeAgain = 4 * time.Second
	// FirstService is the time within which a new cell serves every point.
	FirstService = 10 * time.Second

	// singleBlindLimit is longer than any outage of the log in worlds with one
	// loss at a time.
	singleBlindLimit = 30 * time.Second

	leaseDuration = 2 * time.Second
	drainLimit    = 3 * time.Second
	shortestKept  = 30 * time.Second
)

// blindLimits are the blind limits of the other worlds.
var blindLimits = []time.Duration{5 * time.Second, 10 * time.Second, 25 * time.Second}

// driftBounds are the assumed drifts that worlds are run with, in parts per million.
var driftBounds = []int64{200, 2000, 20000}

// service is the service whose targets form the cell.
const service ident.Service = "reports"

// zones are the availability zones of the world.
var zones = []ident.Zone{"a", "b", "c"}

// params are the parameters of a world that follow from its seed.
type params struct {
	drift     int64
	retention time.Duration
	moves     bool
	margin    time.Duration
	ranges    int
	blind     time.Duration
}

func newParams(rng *rand.Rand, s *Schedule) params {
	p := params{drift: driftBounds[rng.Intn(len(driftBounds))], ranges: 1 + rng.Intn(16), blind: blindLimits[rng.Intn(len(blindLimits))]}
	if rng.Intn(4) == 0 {
		p.margin = 200 * time.Millisecond
	}
	if s.Profile == Single {
		p.blind = singleBlindLimit
	}
	p.moves = rng.Intn(3) == 0
	if s.Profile == LogTrouble && rng.Intn(2) == 0 {
		p.retention = shortestKept
	}
	return p
}

// recoveryBound returns the time within which a cell serves every point again
// after any faults have stopped.
func (p params) recoveryBound() trueTime {
	return toTrue(p.blind + 3*leaseDuration + FirstService)
}

// instance returns the name of the instance of a slot.
func instance(slot int) ident.Instance { return ident.Instance(fmt.Sprintf("n%02d", slot)) }

// config returns the parameters of the cell for the process of a slot.
func (p params) config(s *Schedule, slot int, node ident.Node) cell.Config {
	cfg := cell.Config{
		Service:           service,
		Self:              cell.Member{Node: node, Zone: zones[slot%len(zones)], Addr: fmt.Sprintf("10.0.0.%d:7000", slot+1), Capacity: 20, Version: 1},
		Span:              keyspace.Full(),
		InitialRanges:     p.ranges,
		LeaseDuration:     leaseDuration,
		HeartbeatInterval: 700 * time.Millisecond,
		RetryInterval:     150 * time.Millisecond,
		DriftPPM:          p.drift,
		TargetMargin:      p.margin,
		MaxLogStaleness:   p.blind,
		SnapshotInterval:  8 * time.Second,
		DrainLimit:        drainLimit,
		Seed:              s.Seed ^ int64(slot)<<32 ^ int64(node.Incarnation),
	}
	if p.moves {
		cfg.Balance = cell.BalanceConfig{Interval: 2 * time.Second, WeightImbalance: 1, WeightChurn: 0.2, WeightUnavailable: 0.2, MaxMovesPerMinute: 20, MaxRanges: 48}
	}
	return cfg
}

package daemon

import (
	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/service"
)

// cellConfig returns the parameters of the local cell. Parameters from the
// service's configuration are read once, when the daemon joins its cell.
func (d *Daemon) cellConfig(spec *service.Spec) cell.Config {
	lease := &d.settings.Lease
	cfg := cell.Config{
		Service:           d.settings.Service,
		Self:              d.self(),
		Span:              keyspace.Full(),
		InitialRanges:     spec.Ranges,
		LeaseDuration:     lease.Duration,
		HeartbeatInterval: lease.HeartbeatInterval,
		RetryInterval:     lease.RetryInterval,
		DriftPPM:          lease.DriftPPM,
		MaxLogStaleness:   lease.MaxLogStaleness,
		SnapshotInterval:  lease.SnapshotInterval,
		DrainLimit:        lease.DrainLimit,
		Balance:           d.balanceConfig(spec),
		Seed:              int64(d.node.Incarnation),
	}
	if !spec.Fenced {
		cfg.TargetMargin = lease.TargetMargin
	}
	return cfg
}

func (d *Daemon) balanceConfig(spec *service.Spec) cell.BalanceConfig {
	return cell.BalanceConfig{
		Interval:          d.settings.Balance.Interval,
		MaxRanges:         d.settings.Balance.MaxRanges,
		WeightImbalance:   spec.Weights.Imbalance,
		WeightChurn:       spec.Weights.Churn,
		WeightUnavailable: spec.Weights.Unavailable,
		MaxMovesPerMinute: spec.MaxMoves,
	}
}

func (d *Daemon) self() cell.Member {
	return cell.Member{
		Node:     d.node,
		Zone:     d.settings.Zone,
		Addr:     d.settings.Listen.AnnounceAddr(),
		Capacity: d.settings.Target.Slots,
		Version:  cell.Version,
	}
}

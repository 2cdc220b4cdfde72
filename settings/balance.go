package settings

import (
	"time"

	"github.com/parsleystack/parsleystack/yamlfile"
)

// Balance holds the parameters of moves, splits and merges of ranges that are
// common to all services. The weights are in the service file.
type Balance struct {
	// Interval is the time between decisions; 0 turns balancing off.
	Interval time.Duration `yaml:"interval"`
	// MaxRanges is the maximum number of ranges of a cell.
	MaxRanges int `yaml:"max_ranges"`
}

const (
	maxBalanceInterval = time.Hour
	maxRanges          = 4096
)

func (b *Balance) check(c *yamlfile.Checker) {
	c.Duration("balance.interval", b.Interval, 0, maxBalanceInterval)
	c.Int("balance.max_ranges", int64(b.MaxRanges), 1, maxRanges, "ranges of a cell")
}

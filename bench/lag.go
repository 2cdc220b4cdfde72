package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// lag records the delay between the scheduled and the actual send time, which
// the tool itself causes. It is not safe for concurrent use.
type lag struct{ histogram *hdrhistogram.Histogram }

func newLag() *lag { return &lag{histogram: newHistogram()} }

func (l *lag) record(d time.Duration) {
	_ = l.histogram.RecordValue(min(max(int64(d), histogramMin), histogramMax))
}

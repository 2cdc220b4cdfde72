package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// lag is the delay of the tool itself between the scheduled and the actual
// send time. It is used by one goroutine at a time.
type lag struct{ histogram *hdrhistogram.Histogram }

func newLag() *lag { return &lag{histogram: newHistogram()} }

func (l *lag) record(d time.Duration) {
	_ = l.histogram.RecordValue(min(max(int64(d), histogramMin), histogramMax))
}

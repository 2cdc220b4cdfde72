package bench

import (
	"encoding/csv"
	"io"
	"strconv"
	"time"
)

// reportQuantiles are the percentiles of the reports.
var reportQuantiles = []float64{50, 90, 99, 99.9}

// WriteCSV writes one line for each outcome of each operation and variant.
// Times are in microseconds.
func WriteCSV(w io.Writer, results []*Result) error {
	c := csv.NewWriter(w)
	_ = c.Write([]string{"variant", "operation", "outcome", "reason", "seconds", "count", "in_time", "p50_us", "p90_us", "p99_us", "p999_us", "max_us", "mean_us"})
	for _, r := range results {
		for i := range r.Rows {
			_ = c.Write(r.csvRow(&r.Rows[i]))
		}
	}
	c.Flush()
	return c.Error()
}

func (r *Result) csvRow(row *Row) []string {
	fields := []string{
		r.Name, row.Op, row.Class.Kind.String(), row.Class.Reason,
		strconv.FormatFloat(r.Duration.Seconds(), 'f', -1, 64),
		strconv.FormatUint(row.Count, 10), strconv.FormatUint(row.InTime, 10),
	}
	for _, q := range reportQuantiles {
		fields = append(fields, us(row.Latency.ValueAtQuantile(q)))
	}
	return append(fields, us(row.Latency.Max()), us(int64(row.Latency.Mean())))
}

// WriteTimelineCSV writes one line for each second, operation and variant.
func WriteTimelineCSV(w io.Writer, results []*Result) error {
	c := csv.NewWriter(w)
	_ = c.Write([]string{"variant", "second", "operation", "done", "not_run", "unknown", "max_us"})
	for _, r := range results {
		for _, row := range r.Timeline {
			_ = c.Write([]string{
				r.Name, itoa(row.Second), row.Op,
				strconv.FormatUint(row.Counts.Done, 10),
				strconv.FormatUint(row.Counts.NotRun, 10),
				strconv.FormatUint(row.Counts.Unknown, 10),
				us(int64(row.Counts.MaxLatency)),
			})
		}
	}
	c.Flush()
	return c.Error()
}

func us(ns int64) string { return strconv.FormatInt(ns/int64(time.Microsecond), 10) }

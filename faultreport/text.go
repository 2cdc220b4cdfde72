package faultreport

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// WriteText writes the report as plain text.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	r.writeFaults(t)
	r.writeMetrics(t)
	r.writeUnavailable(t)
	fmt.Fprintf(t, "\nviolations of drains and configuration: %d\n", len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintf(t, "  %s\n", v)
	}
	return t.Flush()
}

func (r *Report) writeFaults(w io.Writer) {
	fmt.Fprintf(w, "%s: faults by kind (two: two instances of the cell failed at the same time)\n", r.Input.Name)
	fmt.Fprintln(w, "  kind\tone\ttwo")
	for _, c := range r.Counts {
		fmt.Fprintf(w, "  %s\t%d\t%d\n", c.Kind, c.SingleLoss, c.DoubleLoss)
	}
	d, p := r.Drains, r.Publishes
	fmt.Fprintf(w, "drains: %d requested, %d refused, %d finished, longest %.1f s, last request started %.1f s after the command\n",
		d.Requested, d.Refused, d.Finished, d.Longest.Seconds(), d.LastRequestStart.Seconds())
	fmt.Fprintf(w, "publishes: %d races, %d accepted, %d lost, %d unsettled, %d failed\n", p.Races, p.Accepted, p.Lost, p.Indeterminate, p.Failed)
}

func (r *Report) writeMetrics(w io.Writer) {
	fmt.Fprintf(w, "\nimbalance: largest share of a target divided by the mean share, in windows of %v\n", imbalanceWindow)
	fmt.Fprintln(w, "  service\tkeys, median\tkeys, worst\tload, median\tload, worst\tmoves of keys\tmoves per minute\tkeys moved")
	minutes := r.Input.Length.Minutes()
	for _, m := range r.Metrics {
		k, l := slices.Sorted(slices.Values(m.Imbalance.Keys)), slices.Sorted(slices.Values(m.Imbalance.Load))
		fmt.Fprintf(w, "  %s\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%.1f\t%d of %d\n", m.Service,
			median(k), largest(k), median(l), largest(l), len(m.Moves), float64(len(m.Moves))/minutes, m.MovedKeys, m.Keys)
	}
}

func (r *Report) writeUnavailable(w io.Writer) {
	fmt.Fprintln(w, "\nunavailable time of probed keys (no response through any daemon that the probes use)")
	fmt.Fprintln(w, "  faults\toutages\tkey-seconds\tlongest, s")
	for _, two := range []bool{false, true} {
		u := sumOutages(r.Outages, two)
		name := "one at a time"
		if two {
			name = "two at a time"
		}
		fmt.Fprintf(w, "  %s\t%d\t%.1f\t%.2f\n", name, u.Outages, u.Total.Seconds(), u.Longest.Seconds())
	}
	for _, c := range r.Causes {
		fmt.Fprintf(w, "  in %s\t%d\t%.1f\t%.2f\n", c.Kind, c.Sum.Outages, c.Sum.Total.Seconds(), c.Sum.Longest.Seconds())
	}
	if o := r.worstOutage(); o != nil {
		fmt.Fprintf(w, "longest outage with one instance failed at a time: key %s at %.1f s for %.2f s\n", o.Key, o.From.Sub(r.Input.Start).Seconds(), o.To.Sub(o.From).Seconds())
	}
}

func (r *Report) worstOutage() *Outage {
	var worst *Outage
	var longest time.Duration
	for i := range r.Outages {
		o := &r.Outages[i]
		if length := o.To.Sub(o.From); !o.DoubleLoss && length > longest {
			worst, longest = o, length
		}
	}
	return worst
}

func median(sorted []float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)/2]
}

func largest(sorted []float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)-1]
}

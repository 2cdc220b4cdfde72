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
	r.writeMeasures(t)
	r.writeUnavailable(t)
	fmt.Fprintf(t, "\nviolations of drains and configuration: %d\n", len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintf(t, "  %s\n", v)
	}
	return t.Flush()
}

func (r *Report) writeFaults(w io.Writer) {
	fmt.Fprintf(w, "%s: faults by kind (two: while another instance of the cell was lost)\n", r.Input.Name)
	fmt.Fprintln(w, "  kind\tone\ttwo")
	for _, c := range r.Counts {
		fmt.Fprintf(w, "  %s\t%d\t%d\n", c.Kind, c.One, c.Two)
	}
	d, p := r.Drains, r.Publishes
	fmt.Fprintf(w, "drains: %d ordered, %d refused, %d finished, longest %.1f s, last new work %.1f s after the order\n",
		d.Ordered, d.Refused, d.Finished, d.Longest.Seconds(), d.LastWork.Seconds())
	fmt.Fprintf(w, "publishes: %d races, %d accepted, %d lost, %d unsettled, %d failed\n", p.Races, p.Accepted, p.Lost, p.Unsettled, p.Failed)
}

func (r *Report) writeMeasures(w io.Writer) {
	fmt.Fprintf(w, "\nimbalance: largest share of a target over the mean share, by windows of %v\n", window)
	fmt.Fprintln(w, "  service\tkeys, median\tkeys, worst\tload, median\tload, worst\tmoves of keys\tmoves a minute\tkeys moved")
	minutes := r.Input.Length.Minutes()
	for _, m := range r.Measures {
		k, l := slices.Sorted(slices.Values(m.Imbalance.Keys)), slices.Sorted(slices.Values(m.Imbalance.Load))
		fmt.Fprintf(w, "  %s\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%.1f\t%d of %d\n", m.Service,
			median(k), last(k), median(l), last(l), len(m.Moves), float64(len(m.Moves))/minutes, m.MovedKeys, m.Keys)
	}
}

func (r *Report) writeUnavailable(w io.Writer) {
	fmt.Fprintln(w, "\nunavailable time of watched keys (no answer through any of the probes' daemons)")
	fmt.Fprintln(w, "  faults\toutages\tkey-seconds\tlongest, s")
	for _, two := range []bool{false, true} {
		u := sum(r.Outages, two)
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
		fmt.Fprintf(w, "worst with one at a time: key %s at %.1f s for %.2f s\n", o.Key, o.From.Sub(r.Input.Start).Seconds(), o.To.Sub(o.From).Seconds())
	}
}

func (r *Report) worstOutage() *Outage {
	var worst *Outage
	var longest time.Duration
	for i := range r.Outages {
		o := &r.Outages[i]
		if length := o.To.Sub(o.From); !o.Two && length > longest {
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

func last(sorted []float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)-1]
}

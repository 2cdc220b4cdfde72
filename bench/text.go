package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/parsleystack/parsleystack/outcome"
)

// WriteText writes a plain text report.
func WriteText(w io.Writer, results []*Result) error {
	for _, r := range results {
		if err := r.writeText(w); err != nil {
			return err
		}
	}
	return nil
}

func (r *Result) writeText(w io.Writer) error {
	seconds := r.Duration.Seconds()
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\n%s: %d requests in %.0f s, %.1f/s; latency from the scheduled time, in ms\n", r.Name, r.Count(), seconds, float64(r.Count())/seconds)
	fmt.Fprintln(t, "operation\toutcome\treason\tcount\tshare\tin time\tp50\tp90\tp99\tp99.9\tmax\t")
	totals := r.totalByOp()
	for i := range r.Rows {
		row := &r.Rows[i]
		share := float64(row.Count) / float64(totals[row.Op])
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.3f%%\t%d\t%s\t\n", row.Op, row.Class.Kind, row.Class.Reason, row.Count, 100*share, row.InTime, quantileText(row.Latency))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	r.writeSummary(w)
	return nil
}

func quantileText(h *hdrhistogram.Histogram) string {
	s := ""
	for _, q := range reportQuantiles {
		s += fmt.Sprintf("%.3f\t", ms(h.ValueAtQuantile(q)))
	}
	return s + fmt.Sprintf("%.3f", ms(h.Max()))
}

func (r *Result) writeSummary(w io.Writer) {
	seconds := r.Duration.Seconds()
	fmt.Fprintf(w, "goodput (done in time): %.1f/s; share of requests%s\n", float64(r.inTime())/seconds, r.inTimeShares())
	fmt.Fprintf(w, "responses to other requests: %d, malformed: %d, refusals without Retry-After: %d%s\n", r.UnmatchedResponses, r.MalformedResponses, r.refusalsWithoutRetryAfter(), r.refusalReasons())
	fmt.Fprintf(w, "send delay of the tool: p99 %.3f ms, max %.3f ms; CPU time of the tool: %.2f s\n",
		ms(r.Lag.ValueAtQuantile(99)), ms(r.Lag.Max()), r.ToolCPU.Seconds())
	for _, p := range r.CPU {
		fmt.Fprintf(w, "%s: %.2f s of CPU time, %.1f%% of a core, %.1f us a request, %.1f MB resident\n",
			p.Label, p.CPU.Seconds(), 100*p.CPU.Seconds()/seconds,
			float64(p.CPU.Microseconds())/float64(max(1, r.Count())), float64(p.RSSBytes)/1e6)
	}
}

func (r *Result) totalByOp() map[string]uint64 {
	totals := map[string]uint64{}
	for i := range r.Rows {
		totals[r.Rows[i].Op] += r.Rows[i].Count
	}
	return totals
}

// inTimeShares returns the share of each operation's requests that were done
// within their timeout.
func (r *Result) inTimeShares() string {
	totals := r.totalByOp()
	text := ""
	for i := range r.Rows {
		row := &r.Rows[i]
		if row.Class == (Class{Kind: outcome.Done}) {
			text += fmt.Sprintf(" %s %.3f%%", row.Op, 100*float64(row.InTime)/float64(totals[row.Op]))
		}
	}
	return text
}

// inTime returns the number of requests that were done within their timeout.
func (r *Result) inTime() uint64 {
	var n uint64
	for i := range r.Rows {
		if r.Rows[i].Class == (Class{Kind: outcome.Done}) {
			n += r.Rows[i].InTime
		}
	}
	return n
}

// refusalsWithoutRetryAfter returns the number of not-run responses, which the
// caller may retry, without a Retry-After header. Requests that were never sent
// are not counted.
func (r *Result) refusalsWithoutRetryAfter() uint64 {
	var n uint64
	for i := range r.Rows {
		n += r.Rows[i].refusalsWithoutRetryAfter()
	}
	return n
}

// refusalReasons lists the operations and reasons of the refusals without
// Retry-After.
func (r *Result) refusalReasons() string {
	s := ""
	for i := range r.Rows {
		if n := r.Rows[i].refusalsWithoutRetryAfter(); n > 0 {
			s += fmt.Sprintf(", %s %s %d", r.Rows[i].Op, r.Rows[i].Class.Reason, n)
		}
	}
	return s
}

func (r *Row) refusalsWithoutRetryAfter() uint64 {
	c := r.Class
	if c.Kind != outcome.NotRun || c.Reason == reasonConnect || c.Reason == reasonUnsent {
		return 0
	}
	return r.NoRetryAfter
}

func ms(ns int64) float64 { return float64(ns) / float64(time.Millisecond) }

package faultreport

import (
	"bufio"
	"fmt"
	"io"
	"time"
)

// Sizes of the plot in pixels.
const (
	plotWidth   = 1000
	plotLeft    = 170
	plotRight   = 20
	panelHeight = 110
	panelGap    = 40
	rowHeight   = 11
)

var colors = []string{"#1b6ca8", "#d1603d", "#3a7d44", "#8e5572", "#b8860b", "#555555"}

// svg writes the panels of a plot from top to bottom.
type svg struct {
	w      *bufio.Writer
	report *Report
	y      int // top of the next panel
}

// WriteSVG writes the report as a plot over the time of the run: faults, imbalance
// of keys and load, moves of keys, and number of unavailable keys.
func (r *Report) WriteSVG(w io.Writer) error {
	s := &svg{w: bufio.NewWriter(w), report: r, y: panelGap}
	rows := len(r.Input.instances()) + 1
	height := 6*panelGap + 4*panelHeight + rows*rowHeight
	fmt.Fprintf(s.w, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="10">`+"\n", plotWidth, height)
	fmt.Fprintf(s.w, `<rect width="%d" height="%d" fill="white"/>`+"\n", plotWidth, height)
	s.text(plotLeft, 16, r.Input.Name+": failure run")
	s.faults()
	s.lines("imbalance of keys", func(m *ServiceMetrics) []float64 { return m.Imbalance.Keys }, imbalanceWindow)
	s.lines("imbalance of load", func(m *ServiceMetrics) []float64 { return m.Imbalance.Load }, imbalanceWindow)
	s.lines("moves of keys per second", func(m *ServiceMetrics) []float64 { return s.movesBySecond(m) }, time.Second)
	s.unavailable()
	fmt.Fprintln(s.w, "</svg>")
	return s.w.Flush()
}

func (s *svg) text(x, y int, text string) {
	fmt.Fprintf(s.w, `<text x="%d" y="%d">%s</text>`+"\n", x, y, text)
}

// x returns the horizontal position of a time since the start of the load.
func (s *svg) x(at time.Duration) float64 {
	at = min(max(at, 0), s.report.Input.Length)
	return plotLeft + float64(at)/float64(s.report.Input.Length)*(plotWidth-plotLeft-plotRight)
}

// faults draws a row for each instance and one for the log, with a bar for each
// fault.
func (s *svg) faults() {
	rows := append(s.report.Input.instances(), "log")
	kinds := map[string]string{}
	for i, c := range s.report.Counts {
		kinds[c.Kind] = colors[i%len(colors)]
	}
	for i, name := range rows {
		y := s.y + i*rowHeight
		s.text(4, y+rowHeight-2, name)
		for _, f := range s.report.Faults {
			if f.Subject != name {
				continue
			}
			from, to := s.x(f.From.Sub(s.report.Input.Start)), s.x(f.To.Sub(s.report.Input.Start))
			fmt.Fprintf(s.w, `<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="%s"><title>%s %s</title></rect>`+"\n",
				from, y, max(to-from, 1), rowHeight-2, kinds[f.Kind], f.Kind, f.Subject)
		}
	}
	x := plotLeft
	for _, c := range s.report.Counts {
		if _, instance := endKinds[c.Kind]; instance || c.Kind == "log" {
			fmt.Fprintf(s.w, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", x, s.y-8, kinds[c.Kind], c.Kind)
			x += 90
		}
	}
	s.y += len(rows)*rowHeight + panelGap
}

// lines draws a panel with one line for each service.
func (s *svg) lines(title string, values func(*ServiceMetrics) []float64, step time.Duration) {
	maxValue := 1.0
	for i := range s.report.Metrics {
		for _, v := range values(&s.report.Metrics[i]) {
			maxValue = max(maxValue, v)
		}
	}
	s.frame(title, maxValue)
	for i := range s.report.Metrics {
		m := &s.report.Metrics[i]
		fmt.Fprintf(s.w, `<text x="4" y="%d" fill="%s">%s</text>`+"\n", s.y+26+12*i, colors[i%len(colors)], m.Service)
		s.polyline(values(m), step, maxValue, colors[i%len(colors)])
	}
	s.y += panelHeight + panelGap
}

func (s *svg) frame(title string, maxValue float64) {
	s.text(4, s.y+10, title)
	s.text(plotLeft-34, s.y+10, fmt.Sprintf("%.1f", maxValue))
	s.text(plotLeft-34, s.y+panelHeight, "0")
	fmt.Fprintf(s.w, `<rect x="%d" y="%d" width="%d" height="%d" fill="none" stroke="#999"/>`+"\n",
		plotLeft, s.y, plotWidth-plotLeft-plotRight, panelHeight)
	for at := time.Duration(0); at <= s.report.Input.Length; at += 30 * time.Second {
		s.text(int(s.x(at)), s.y+panelHeight+12, fmt.Sprintf("%.0f s", at.Seconds()))
	}
}

func (s *svg) polyline(values []float64, step time.Duration, maxValue float64, color string) {
	fmt.Fprintf(s.w, `<polyline fill="none" stroke="%s" points="`, color)
	for i, v := range values {
		at := step*time.Duration(i) + step/2
		fmt.Fprintf(s.w, "%.1f,%.1f ", s.x(at), float64(s.y)+panelHeight*(1-v/maxValue))
	}
	fmt.Fprintln(s.w, `"/>`)
}

func (s *svg) movesBySecond(m *ServiceMetrics) []float64 {
	counts := make([]float64, int(s.report.Input.Length/time.Second)+1)
	for _, move := range m.Moves {
		if i := int(move.At / time.Second); i >= 0 && i < len(counts) {
			counts[i]++
		}
	}
	return counts
}

// unavailable draws the number of probed keys without a response.
func (s *svg) unavailable() {
	const step = 200 * time.Millisecond
	counts := make([]float64, int(s.report.Input.Length/step)+1)
	maxValue := 1.0
	for _, o := range s.report.Outages {
		from := max(int(o.From.Sub(s.report.Input.Start)/step), 0)
		to := min(int(o.To.Sub(s.report.Input.Start)/step), len(counts)-1)
		for i := from; i <= to; i++ {
			counts[i]++
			maxValue = max(maxValue, counts[i])
		}
	}
	s.frame("probed keys without response", maxValue)
	s.polyline(counts, step, maxValue, colors[1])
	s.y += panelHeight + panelGap
}

package capacity

import (
	"fmt"
	"slices"

	"github.com/parsleystack/parsleystack/measure"
)

func writeSection(p *page, r *SectionResult) {
	p.line("\n## %s\n", r.Section.Name)
	p.line("%s\n", r.Section.Text)
	p.line("| resource | term | series | line | at size | per second | need | mechanism |")
	p.line("|---|---|---|---|---:|---:|---:|---|")
	for i := range r.Needs {
		for j := range r.Needs[i].Terms {
			writeTerm(p, &r.Needs[i].Budget, &r.Needs[i].Terms[j])
		}
	}
	p.line("")
	for i := range r.Needs {
		n := &r.Needs[i]
		p.line("- %s: %s of %s (%s): %s, margin %s.", n.Budget.Resource, quantity(n.Value, n.Budget.Unit),
			quantity(n.Budget.Limit, n.Budget.Unit), n.Budget.Text, verdict(n), margin(n))
	}
}

func writeTerm(p *page, b *Budget, t *TermResult) {
	rate := ""
	if t.Term.PerSecond != "" {
		rate = number(t.PerSecond)
	}
	if t.Term.Value != "" {
		p.line("| %s | %s | – | = %s | | | %s | %s |", b.Resource, t.Term.Text, t.Term.Value, quantity(t.Value, b.Unit), t.Term.Mechanism)
		return
	}
	if !t.Measured {
		p.line("| %s | %s | %s | **not measured yet** | %s | %s | – | %s |", b.Resource, t.Term.Text, t.Term.Series, number(t.Size), rate, t.Term.Mechanism)
		return
	}
	at := number(t.Size)
	if t.Extrapolated {
		at += " (*extrapolated*)"
	}
	p.line("| %s | %s | %s | %s | %s | %s | %s | %s |", b.Resource, t.Term.Text, t.Term.Series,
		lineText(t.Line, t.Unit), at, rate, quantity(t.Value, b.Unit), t.Term.Mechanism)
}

func lineText(l measure.Line, unit string) string {
	return fmt.Sprintf("%s + %s a unit, residual %s %s", number(l.Intercept), number(l.Slope), number(l.Residual), unit)
}

// writeSeries writes a table of all series with their lines and commits, and the
// machines that they were measured on.
func writeSeries(p *page, series map[string]*measure.Series) {
	var names []string
	for name := range series {
		names = append(names, name)
	}
	slices.Sort(names)
	p.line("\n## Measured series\n")
	p.line("| series | quantity | sizes | line | commit |")
	p.line("|---|---|---|---|---|")
	for _, name := range names {
		s := series[name]
		line := "too few sizes"
		if l, err := s.Fit(); err == nil {
			line = lineText(l, s.Unit)
		}
		p.line("| %s | %s | %s | %s | %s |", name, s.Quantity, sizesText(s), line, s.Facts.Commit)
	}
	p.line("\n## Machines\n")
	for _, m := range machines(series, names) {
		p.line("- %s", m)
	}
}

func sizesText(s *measure.Series) string {
	sizes := s.Sizes()
	if len(sizes) == 0 {
		return "none"
	}
	return fmt.Sprintf("%d from %s to %s", len(sizes), number(sizes[0]), number(sizes[len(sizes)-1]))
}

// machines returns the distinct machines that the series were measured on.
func machines(series map[string]*measure.Series, names []string) []string {
	var all []string
	for _, name := range names {
		f := series[name].Facts
		m := fmt.Sprintf("%s, %s cores, %s, Linux %s, %s", f.CPU, f.Cores, f.Memory, f.Kernel, f.Go)
		if !slices.Contains(all, m) {
			all = append(all, m)
		}
	}
	return all
}

package capacity

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/parsleystack/parsleystack/measure"
)

// outlookGrowth is the growth of the system for the second set of margins: the size
// doubles again.
const outlookGrowth = 2

// WritePage writes the capacity page as Markdown.
func (m *Model) WritePage(w io.Writer, series map[string]*measure.Series) error {
	now, err := m.Evaluate(series, 1)
	if err != nil {
		return err
	}
	later, err := m.Evaluate(series, outlookGrowth)
	if err != nil {
		return err
	}
	var p page
	p.line("# Capacity at target size")
	p.line("")
	p.line("Made by `parsley-capacity` from the measured series in the tables; do not edit by hand.")
	p.line("A need is the value of the series' line at the size of the term, times its rate. A margin is")
	p.line("the budget divided by the need. *Extrapolated* marks a size outside the measured ones. A need")
	p.line("that lacks a term is a lower bound.")
	m.writeSizes(&p)
	m.writeVerdict(&p, now, later)
	m.writeNotes(&p)
	for i := range now {
		writeSection(&p, &now[i])
	}
	writeSeries(&p, series)
	_, err = io.WriteString(w, p.text.String())
	return err
}

// page collects the text of the page.
type page struct{ text strings.Builder }

func (p *page) line(format string, a ...any) {
	fmt.Fprintf(&p.text, format+"\n", a...)
}

func (m *Model) writeSizes(p *page) {
	p.line("\n## Sizes\n")
	p.line("| figure | value | unit | source |")
	p.line("|---|---:|---|---|")
	for _, s := range m.Sizes {
		p.line("| %s | %s | %s | %s |", s.Name, number(s.Value), s.Unit, s.Source)
	}
	values, err := m.values(1)
	if err != nil {
		return // Evaluate has already reported this error
	}
	for i, d := range m.Derived {
		p.line("| %s | %s | %s | %s |", d.Name, number(values[len(m.Sizes)+i].value), d.Unit, d.Value)
	}
}

// verdictRow is one row of the table of all needs: the need at the modeled size and
// at double size.
type verdictRow struct {
	section    string
	now, later Need
}

func (m *Model) writeVerdict(p *page, now, later []SectionResult) {
	var rows []verdictRow
	for i := range now {
		for j := range now[i].Needs {
			rows = append(rows, verdictRow{section: now[i].Section.Name, now: now[i].Needs[j], later: later[i].Needs[j]})
		}
	}
	slices.SortStableFunc(rows, func(a, b verdictRow) int {
		return compareMargins(a.later, b.later)
	})
	p.line("\n## Verdict, the smallest margin at double size first\n")
	p.line("| section | resource | need | budget | margin | at double size | verdict |")
	p.line("|---|---|---:|---:|---:|---:|---|")
	for _, r := range rows {
		p.line("| %s | %s | %s | %s | %s | %s | %s |", r.section, r.now.Budget.Resource,
			quantity(r.now.Value, r.now.Budget.Unit), quantity(r.now.Budget.Limit, r.now.Budget.Unit),
			margin(&r.now), margin(&r.later), verdict(&r.now))
	}
	writeFirstExceeded(p, rows)
}

// writeFirstExceeded writes which need exceeds its budget first when the size doubles:
// the one with the smallest margin.
func writeFirstExceeded(p *page, rows []verdictRow) {
	if len(rows) == 0 || rows[0].later.Value == 0 {
		return
	}
	r := &rows[0]
	p.line("\nWhen the size doubles again, %s of section *%s* breaks first (margin %s); needs that lack a",
		r.now.Budget.Resource, r.section, margin(&r.later))
	p.line("term may break before it.")
}

func (m *Model) writeNotes(p *page) {
	if len(m.Notes) == 0 {
		return
	}
	p.line("\n## Notes\n")
	for _, n := range m.Notes {
		p.line("- %s", n)
	}
}

// compareMargins orders needs by ascending margin, needs without a measured term
// last.
func compareMargins(a, b Need) int {
	switch {
	case a.Value == 0 && b.Value == 0:
		return 0
	case a.Value == 0:
		return 1
	case b.Value == 0:
		return -1
	case a.Margin() < b.Margin():
		return -1
	case a.Margin() > b.Margin():
		return 1
	}
	return 0
}

func margin(n *Need) string {
	if n.Value == 0 {
		return "–"
	}
	return fmt.Sprintf("%.3g", n.Margin())
}

func verdict(n *Need) string {
	missing := ""
	if n.Missing > 0 {
		missing = fmt.Sprintf("%d of %d terms not measured yet", n.Missing, len(n.Terms))
	}
	switch {
	case n.Missing == len(n.Terms):
		return "**not measured yet**"
	case !n.Met():
		return strings.TrimSuffix("**not met**; "+missing, "; ")
	case n.Missing > 0:
		return "open: " + missing
	}
	return "met"
}

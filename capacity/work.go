package capacity

import (
	"fmt"

	"github.com/parsleystack/parsleystack/measure"
)

// TermResult is the need of one term.
type TermResult struct {
	Term         Term
	Measured     bool
	Value        float64 // in the unit of the budget
	Line         measure.Line
	Unit         string // unit of the line
	Size         float64
	PerSecond    float64
	Extrapolated bool // the size lies outside the measured ones
}

// Need is what a section needs of one resource.
type Need struct {
	Budget  Budget
	Terms   []TermResult
	Value   float64 // sum of the terms that are measured
	Missing int     // terms that are not measured yet
}

// Margin is the budget over the need.
func (n *Need) Margin() float64 { return n.Budget.Limit / n.Value }

// Met reports whether the measured terms are within the budget.
func (n *Need) Met() bool { return n.Value <= n.Budget.Limit }

// SectionResult is the need of one section, by resource in the order of the
// budgets.
type SectionResult struct {
	Section Section
	Needs   []Need
}

// Work works out all sections with the sizes that double times growth. A
// series that is not there, or has too few sizes, counts as not measured.
func (m *Model) Work(series map[string]*measure.Series, growth float64) ([]SectionResult, error) {
	values, err := m.values(growth)
	if err != nil {
		return nil, err
	}
	var results []SectionResult
	for _, s := range m.Sections {
		r, err := m.workSection(s, series, values)
		if err != nil {
			return nil, fmt.Errorf("capacity: section %q: %w", s.Name, err)
		}
		results = append(results, r)
	}
	return results, nil
}

func (m *Model) workSection(s Section, series map[string]*measure.Series, values []namedValue) (SectionResult, error) {
	r := SectionResult{Section: s}
	for _, b := range m.Budgets {
		need := Need{Budget: b}
		for _, t := range s.Terms {
			if t.Resource != b.Resource {
				continue
			}
			tr, err := workTerm(t, &b, series[t.Series], values)
			if err != nil {
				return SectionResult{}, fmt.Errorf("term %q: %w", t.Text, err)
			}
			need.add(tr)
		}
		if len(need.Terms) > 0 {
			r.Needs = append(r.Needs, need)
		}
	}
	return r, nil
}

func (n *Need) add(t TermResult) {
	n.Terms = append(n.Terms, t)
	if !t.Measured {
		n.Missing++
		return
	}
	n.Value += t.Value
}

func workTerm(t Term, b *Budget, s *measure.Series, values []namedValue) (TermResult, error) {
	r := TermResult{Term: t, PerSecond: 1}
	var err error
	if t.PerSecond != "" {
		if r.PerSecond, err = evaluate(t.PerSecond, values); err != nil {
			return r, err
		}
	}
	if t.Value != "" {
		r.Measured = true
		r.Value, err = evaluate(t.Value, values)
		return r, err
	}
	if t.Size != "" {
		if r.Size, err = evaluate(t.Size, values); err != nil {
			return r, err
		}
	}
	if s == nil {
		return r, nil
	}
	factor, err := termFactor(&t, b, s.Unit, values)
	if err != nil {
		return r, err
	}
	return r, r.takeSeries(s, factor)
}

// termFactor converts a value of the term's series into the budget's unit.
func termFactor(t *Term, b *Budget, seriesUnit string, values []namedValue) (float64, error) {
	if t.Each == "" {
		return b.factor(seriesUnit)
	}
	if seriesUnit != unitCount {
		return 0, fmt.Errorf("series %s is in %q; each goes with a series that counts", t.Series, seriesUnit)
	}
	return evaluate(t.Each, values)
}

// takeSeries works out the value of a term from its series.
func (r *TermResult) takeSeries(s *measure.Series, factor float64) error {
	line, err := s.Fit()
	if err != nil {
		return err
	}
	r.Measured, r.Line, r.Unit = true, line, s.Unit
	r.Extrapolated = line.Extrapolates(r.Size)
	r.Value = line.At(r.Size) * factor * r.PerSecond
	return nil
}

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
	Extrapolated bool // the size lies outside the measured range
}

// Need is the need of a section for one resource.
type Need struct {
	Budget  Budget
	Terms   []TermResult
	Value   float64 // sum of the measured terms
	Missing int     // terms that are not measured yet
}

// Margin returns the budget divided by the need.
func (n *Need) Margin() float64 { return n.Budget.Limit / n.Value }

// Met reports whether the measured terms are within the budget.
func (n *Need) Met() bool { return n.Value <= n.Budget.Limit }

// SectionResult holds the needs of one section, ordered like the budgets.
type SectionResult struct {
	Section Section
	Needs   []Need
}

// Evaluate computes the needs of all sections, with the sizes that grow multiplied
// by growth. A term whose series does not exist counts as not measured; a series
// with too few sizes is an error.
func (m *Model) Evaluate(series map[string]*measure.Series, growth float64) ([]SectionResult, error) {
	values, err := m.values(growth)
	if err != nil {
		return nil, err
	}
	var results []SectionResult
	for _, s := range m.Sections {
		r, err := m.evaluateSection(s, series, values)
		if err != nil {
			return nil, fmt.Errorf("capacity: section %q: %w", s.Name, err)
		}
		results = append(results, r)
	}
	return results, nil
}

func (m *Model) evaluateSection(s Section, series map[string]*measure.Series, values []namedValue) (SectionResult, error) {
	r := SectionResult{Section: s}
	for _, b := range m.Budgets {
		need := Need{Budget: b}
		for _, t := range s.Terms {
			if t.Resource != b.Resource {
				continue
			}
			tr, err := evaluateTerm(t, &b, series[t.Series], values)
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

func evaluateTerm(t Term, b *Budget, s *measure.Series, values []namedValue) (TermResult, error) {
	r := TermResult{Term: t, PerSecond: 1}
	var err error
	if t.PerSecond != "" {
		if r.PerSecond, err = evaluateExpr(t.PerSecond, values); err != nil {
			return r, err
		}
	}
	if t.Value != "" {
		r.Measured = true
		r.Value, err = evaluateExpr(t.Value, values)
		return r, err
	}
	if t.Size != "" {
		if r.Size, err = evaluateExpr(t.Size, values); err != nil {
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
	return r, r.applySeries(s, factor)
}

// termFactor returns the factor that converts a value of the term's series into
// the unit of the budget.
func termFactor(t *Term, b *Budget, seriesUnit string, values []namedValue) (float64, error) {
	if t.Each == "" {
		return b.factor(seriesUnit)
	}
	if seriesUnit != unitCount {
		return 0, fmt.Errorf("series %s is in %q; each requires a series of unit 1", t.Series, seriesUnit)
	}
	return evaluateExpr(t.Each, values)
}

// applySeries computes the value of a term from its series.
func (r *TermResult) applySeries(s *measure.Series, factor float64) error {
	line, err := s.Fit()
	if err != nil {
		return err
	}
	r.Measured, r.Line, r.Unit = true, line, s.Unit
	r.Extrapolated = line.Extrapolates(r.Size)
	r.Value = line.At(r.Size) * factor * r.PerSecond
	return nil
}

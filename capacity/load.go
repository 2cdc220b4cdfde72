package capacity

import (
	"fmt"
	"os"

	"github.com/goccy/go-yaml"
)

// Load reads and validates a model file. Unknown fields, unknown names in
// expressions and resources without a budget are errors.
func Load(path string) (*Model, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	var m Model
	if err := yaml.UnmarshalWithOptions(text, &m, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("capacity: %s: %w", path, err)
	}
	if err := m.validate(); err != nil {
		return nil, fmt.Errorf("capacity: %s: %w", path, err)
	}
	return &m, nil
}

func (m *Model) validate() error {
	values, err := m.values(1)
	if err != nil {
		return err
	}
	for _, s := range m.Sections {
		for _, t := range s.Terms {
			if err := m.validateTerm(&t, values); err != nil {
				return fmt.Errorf("section %q, term %q: %w", s.Name, t.Text, err)
			}
		}
	}
	return nil
}

func (m *Model) validateTerm(t *Term, values []namedValue) error {
	budget := m.budget(t.Resource)
	if budget == nil {
		return fmt.Errorf("resource %q has no budget; add one, or use the resource of an existing budget", t.Resource)
	}
	if (t.Series == "") == (t.Value == "") {
		return fmt.Errorf("set exactly one of series and value")
	}
	if budget.isRate() && t.Series != "" && t.PerSecond == "" {
		return fmt.Errorf("resource %q is a rate, but the term has no per_second; add it", t.Resource)
	}
	for _, expr := range []string{t.Size, t.Value, t.PerSecond, t.Each} {
		if expr == "" {
			continue
		}
		if _, err := evaluateExpr(expr, values); err != nil {
			return err
		}
	}
	return nil
}

func (m *Model) budget(resource string) *Budget {
	for i := range m.Budgets {
		if m.Budgets[i].Resource == resource {
			return &m.Budgets[i]
		}
	}
	return nil
}

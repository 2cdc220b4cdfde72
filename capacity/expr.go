package capacity

import (
	"fmt"
	"strconv"
	"strings"
)

// namedValue is a size or derived value that expressions may use.
type namedValue struct {
	name  string
	value float64
}

// evaluateExpr evaluates an expression: a sum of products, without parentheses.
// Names, numbers and the operators + * / are separated by spaces.
func evaluateExpr(expr string, values []namedValue) (float64, error) {
	sum := 0.0
	for _, product := range strings.Split(expr, " + ") {
		v, err := evaluateProduct(product, values)
		if err != nil {
			return 0, fmt.Errorf("expression %q: %w", expr, err)
		}
		sum += v
	}
	return sum, nil
}

func evaluateProduct(product string, values []namedValue) (float64, error) {
	fields := strings.Fields(product)
	if len(fields)%2 == 0 {
		return 0, fmt.Errorf("%q must be operands with * or / between them", product)
	}
	result, err := operand(fields[0], values)
	if err != nil {
		return 0, err
	}
	for i := 1; i < len(fields); i += 2 {
		v, err := operand(fields[i+1], values)
		if err != nil {
			return 0, err
		}
		switch fields[i] {
		case "*":
			result *= v
		case "/":
			result /= v
		default:
			return 0, fmt.Errorf("operator %q is unknown; use +, * or /", fields[i])
		}
	}
	return result, nil
}

func operand(s string, values []namedValue) (float64, error) {
	for _, v := range values {
		if v.name == s {
			return v.value, nil
		}
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is neither a number nor the name of a size or of an earlier derived value", s)
	}
	return v, nil
}

// values returns the sizes and the derived values. Sizes with Doubles set are
// multiplied by growth.
func (m *Model) values(growth float64) ([]namedValue, error) {
	var values []namedValue
	for _, s := range m.Sizes {
		v := s.Value
		if s.Doubles {
			v *= growth
		}
		values = append(values, namedValue{name: s.Name, value: v})
	}
	for _, d := range m.Derived {
		v, err := evaluateExpr(d.Value, values)
		if err != nil {
			return nil, fmt.Errorf("derived value %q: %w", d.Name, err)
		}
		values = append(values, namedValue{name: d.Name, value: v})
	}
	return values, nil
}
